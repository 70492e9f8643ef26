package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.gateway.Gateway;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.platform.RequestHeaders;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformServerStandIn;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * Measures the processor time of gateway processes: until they are ready, and while they serve few
 * requests beside the changes of many servers, as one of many instances does.
 *
 * <p>Each round starts one process of each program in turn, so that all programs meet the same
 * disturbances of the machine. A gateway in this process holds all leases and plans, so that the
 * measured process is an ordinary instance.
 */
public final class ProcessCostMeasurement implements AutoCloseable {
    private static final int MODELS_ON_DISK = 10;
    private static final String[] PATHS = {"/ask/1", "/issue/1", "/ask/2", "/read/1"};

    private final PrintStream output;
    private final int requestsPerSecond;
    private final int listedServers;
    private final int changesPerSecond;
    private final Duration length;
    private final IoExecutor ioExecutor = IoThreads.create(2);
    private final PlatformStoreStandIn store = new PlatformStoreStandIn(ioExecutor);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Gateway planner;
    private long changes;
    private long requests;

    /**
     * Starts the stand-ins and the planning gateway.
     *
     * @param requestsPerSecond requests that a measured process serves
     * @param listedServers servers that are listed beside those that answer requests
     * @param changesPerSecond changes of the entries of these servers
     * @param length how long a measured process serves requests
     * @param output receives the results
     */
    public ProcessCostMeasurement(
            int requestsPerSecond,
            int listedServers,
            int changesPerSecond,
            Duration length,
            PrintStream output)
            throws TarragonlugException, IOException {
        this.requestsPerSecond = requestsPerSecond;
        this.listedServers = listedServers;
        this.changesPerSecond = changesPerSecond;
        this.length = length;
        this.output = output;
        try (InputStream configuration =
                ProcessCostMeasurement.class.getResourceAsStream("/gateway-trial.json")) {
            store.put(
                    PlatformKinds.CONFIGURATION,
                    PlatformKinds.CURRENT_CONFIGURATION,
                    Json.read(configuration.readAllBytes()));
        }
        new PlatformServerStandIn(ioExecutor, store, "e1", "engines", "m1");
        new PlatformServerStandIn(ioExecutor, store, "r1", "records");
        for (int server = 0; server < listedServers; server++) {
            changeServer(server);
        }
        this.planner = new Gateway(GatewayTrial.settings(store, "planner"));
        planner.start();
    }

    /**
     * Measures programs in turn.
     *
     * @param programs directories with a built program and {@code deploy/system.toml}
     * @param rounds number of processes of each program
     */
    public void run(List<Path> programs, int rounds) throws IOException, InterruptedException {
        Map<Path, List<Map<String, Double>>> results = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Path program : programs) {
                results.computeIfAbsent(program, each -> new ArrayList<>()).add(measure(program));
            }
        }
        output.println("processor seconds, median of " + rounds + " (least)");
        results.forEach(this::print);
    }

    private void print(Path program, List<Map<String, Double>> rounds) {
        Map<String, List<Double>> byName = new TreeMap<>();
        rounds.forEach(
                round ->
                        round.forEach(
                                (name, seconds) ->
                                        byName.computeIfAbsent(name, each -> new ArrayList<>())
                                                .add(seconds)));
        output.println(program);
        byName.forEach(
                (name, seconds) -> {
                    double[] sorted = seconds.stream().mapToDouble(each -> each).sorted().toArray();
                    output.printf(
                            "  %-28s %.3f (%.3f)%n", name, sorted[sorted.length / 2], sorted[0]);
                });
    }

    private Map<String, Double> measure(Path program) throws IOException, InterruptedException {
        GatewaySettings settings = GatewayTrial.settings(store, "measured");
        List<String> command = GatewayChild.command(program);
        try (GatewayChild child = new GatewayChild(program, command, settings)) {
            child.awaitReady();
            Map<String, Double> result = new TreeMap<>();
            result.put("start", ProcessorTime.ofProcess(child.pid()));
            serve(settings);
            Map<String, Double> threads = ProcessorTime.byThread(child.pid());
            threads.forEach((name, seconds) -> result.put("thread " + name, seconds));
            result.put("whole", ProcessorTime.ofProcess(child.pid()));
            return result;
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void serve(GatewaySettings settings) throws InterruptedException {
        long start = System.nanoTime();
        long sent = 0;
        long changed = 0;
        while (System.nanoTime() - start < length.toNanos()) {
            double elapsed = (System.nanoTime() - start) / 1e9;
            while (sent < elapsed * requestsPerSecond) {
                send(settings);
                sent++;
            }
            while (changed < elapsed * changesPerSecond) {
                changeServer((int) (changes % listedServers));
                changed++;
            }
            Thread.sleep(10);
        }
    }

    private void send(GatewaySettings settings) {
        requests++;
        String path = PATHS[(int) (requests % PATHS.length)];
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create("http://" + text(settings.callerAddress()) + path))
                        .header(RequestHeaders.REQUEST_ID, "measured-" + requests)
                        .header(RequestHeaders.DEADLINE, "5000")
                        .POST(HttpRequest.BodyPublishers.ofString("x".repeat(600)));
        if (path.startsWith("/ask")) {
            request.header(RequestHeaders.MODEL, "m1");
        }
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.discarding());
    }

    /** Writes a server's entry with other models than before. */
    private void changeServer(int server) {
        changes++;
        ObjectNode entry = Json.object();
        entry.put("service", "others");
        entry.put("address", "127.0.0.1:" + (20_000 + server));
        entry.put("zone", "home");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("seq", changes);
        entry.put("born", 1);
        ArrayNode models = entry.putArray("models");
        for (int model = 0; model < 3; model++) {
            models.addObject().put("name", "model-" + (changes + model)).putArray("adapters");
        }
        ArrayNode onDisk = entry.putObject("available").putArray("on_disk");
        for (int model = 0; model < MODELS_ON_DISK; model++) {
            onDisk.add("model-" + (server * MODELS_ON_DISK + model));
        }
        store.put(PlatformKinds.SERVERS, "listed-" + server, entry);
    }

    @Override
    public void close() {
        planner.stop();
        store.close();
        ioExecutor.closeAsync().subscribe();
    }
}
