package org.tarragonlug.trial;

import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.gateway.Gateway;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.platform.PlatformPaths;
import org.tarragonlug.platform.RequestHeaders;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.FreePort;
import org.tarragonlug.standin.PlatformServerStandIn;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * Runs one gateway with stand-ins for the platform's store and servers, and sends one request of
 * each kind through it, including one for a model that must be loaded first. A request that is
 * answered with status 503 is sent again, as callers do. Then one server says that it leaves and
 * another that it wants a pause, and no further requests may reach them.
 *
 * <p>The build also runs this trial to create a class data archive of the classes that a gateway
 * uses. With the archive, the start of a process takes half of the processor time.
 */
public final class GatewayTrial {
    private static final String CONFIGURATION = "/gateway-trial.json";
    private static final String ENGINES = "engines";
    private static final String RECORDS = "records";
    private static final Duration DRAIN_TIME = Duration.ofSeconds(8);
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final Duration REQUEST_LIMIT = Duration.ofSeconds(15);
    private static final long POLL_MILLIS = 50;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Requests among which each of two servers gets one. */
    private static final int MANY_REQUESTS = 40;

    private static final Duration PAUSE = Duration.ofMillis(600);

    private final Consumer<String> progress;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int requests;

    /**
     * Creates a trial.
     *
     * @param progress receives a line after each step
     */
    public GatewayTrial(Consumer<String> progress) {
        this.progress = progress;
    }

    /**
     * Runs the trial.
     *
     * @return whether the gateway became ready and answered all requests with status 200
     * @throws TarragonlugException if the gateway can't be started
     * @throws IOException if a request ends without an answer
     */
    public boolean run() throws TarragonlugException, IOException, InterruptedException {
        IoExecutor ioExecutor = IoThreads.create(1);
        PlatformStoreStandIn store = new PlatformStoreStandIn(ioExecutor);
        try (InputStream configuration = GatewayTrial.class.getResourceAsStream(CONFIGURATION)) {
            store.put(
                    PlatformKinds.CONFIGURATION,
                    PlatformKinds.CURRENT_CONFIGURATION,
                    Json.read(configuration.readAllBytes()));
        }
        new PlatformServerStandIn(ioExecutor, store, "e1", ENGINES, "m1");
        new PlatformServerStandIn(ioExecutor, store, "e2", ENGINES);
        PlatformServerStandIn first = new PlatformServerStandIn(ioExecutor, store, "r1", RECORDS);
        PlatformServerStandIn second = new PlatformServerStandIn(ioExecutor, store, "r2", RECORDS);
        GatewaySettings settings = settings(store, "trial");
        Gateway gateway = new Gateway(settings);
        gateway.start();
        boolean successful = awaitReady(settings);
        successful &= send(settings, "/issue/1", "");
        successful &= send(settings, "/read/1", "");
        successful &= send(settings, "/ask/1", "m1");
        successful &= send(settings, "/ask/2", "m2");
        successful &= leavesServerThatLeaves(settings, first);
        successful &= heedsPause(settings, second);
        gateway.stop();
        return successful;
    }

    /** Returns settings of a gateway on free ports of loopback. */
    public static GatewaySettings settings(PlatformStoreStandIn store, String instance) {
        return settings(store, instance, new FailureDomain("home"));
    }

    /** Returns settings of a gateway of a failure domain, on free ports of loopback. */
    public static GatewaySettings settings(
            PlatformStoreStandIn store, String instance, FailureDomain failureDomain) {
        return settings(store.address(), instance, failureDomain, DRAIN_TIME);
    }

    /**
     * Returns settings of a gateway of a failure domain, on free ports of loopback.
     *
     * @param drainTime time from the request to stop until the process is ended
     */
    public static GatewaySettings settings(
            InetSocketAddress storeAddress,
            String instance,
            FailureDomain failureDomain,
            Duration drainTime) {
        return new GatewaySettings(
                new InstanceId(instance),
                failureDomain,
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                storeAddress,
                drainTime,
                true,
                Duration.ofSeconds(3),
                2,
                Duration.ofSeconds(5),
                Duration.ofSeconds(10),
                0.2,
                50,
                1,
                100,
                1,
                WatchLimits.DEFAULT,
                Optional.empty());
    }

    private boolean awaitReady(GatewaySettings settings) throws IOException, InterruptedException {
        URI uri = uri(settings.readinessAddress(), PlatformPaths.READINESS);
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (System.nanoTime() < end) {
            if (status(request) == OK) {
                progress.accept("ready");
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        progress.accept("gateway not ready within " + START_LIMIT.toSeconds() + " s");
        return false;
    }

    private static URI uri(InetSocketAddress address, String path) {
        String host = address.getAddress().getHostAddress();
        return URI.create("http://" + host + ":" + address.getPort() + path);
    }

    private boolean send(GatewaySettings settings, String path, String model)
            throws IOException, InterruptedException {
        requests++;
        URI uri = uri(settings.callerAddress(), path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri)
                        .timeout(REQUEST_LIMIT)
                        .header(RequestHeaders.REQUEST_ID, "trial-" + requests)
                        .header(RequestHeaders.DEADLINE, Long.toString(REQUEST_LIMIT.toMillis()))
                        .POST(HttpRequest.BodyPublishers.ofString("x"));
        if (!model.isEmpty()) {
            request.header(RequestHeaders.MODEL, model);
        }
        long end = System.nanoTime() + START_LIMIT.toNanos();
        int status = status(request.build());
        while (status == UNAVAILABLE && System.nanoTime() < end) {
            Thread.sleep(POLL_MILLIS);
            status = status(request.build());
        }
        progress.accept(path + " " + status);
        return status == OK;
    }

    /** Lets a server say that it leaves, and returns whether it then gets no more requests. */
    private boolean leavesServerThatLeaves(GatewaySettings settings, PlatformServerStandIn server)
            throws IOException, InterruptedException {
        server.setAnnouncingLeave(true);
        int before = server.arrivals().size();
        boolean successful = true;
        for (int number = 0; number < MANY_REQUESTS; number++) {
            successful &= send(settings, "/read/1", "");
        }
        int reached = server.arrivals().size() - before;
        progress.accept("requests that reached a leaving server: " + reached);
        return successful && reached == 1;
    }

    /**
     * Lets the only other server want a pause, and returns whether its requests wait for the end.
     */
    private boolean heedsPause(GatewaySettings settings, PlatformServerStandIn server)
            throws IOException, InterruptedException {
        server.pauseFor(PAUSE);
        int before = server.arrivals().size();
        boolean successful = send(settings, "/read/1", "");
        int reached = server.arrivals().size() - before;
        progress.accept("requests that reached a server with a pause: " + reached);
        // The first is turned away, and the second comes when the pause is over.
        return successful && reached == 2;
    }

    private int status(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }
}
