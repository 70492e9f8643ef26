package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.io.File;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.FreePort;
import org.tarragonlug.standin.PlatformServerStandIn;
import org.tarragonlug.standin.PlatformStoreStandIn;
import org.tarragonlug.trial.GatewayChild;

/** Starts gateways on loopback, with stand-ins of the platform's store and servers. */
final class GatewayFixture implements AutoCloseable {
    static final String CONFIGURATION =
            """
            {"version": %d, "routes": [
              {"name": "ask", "host": "127.0.0.1", "path_prefix": "/ask/", "kind": "streaming",
               "timeout_ms": 6000, "target_latency_ms": 400, "priority": 0, "service": "engines",
               "max_attempts": 2, "resumable": true, "gap_target_ms": 400},
              {"name": "score", "host": "127.0.0.1", "path_prefix": "/score/", "kind": "streaming",
               "timeout_ms": 9000, "target_latency_ms": 3000, "priority": 0,
               "service": "engines", "max_attempts": 1, "gap_target_ms": 400},
              {"name": "issue", "host": "127.0.0.1", "path_prefix": "/issue/",
               "kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 100,
               "priority": 2, "service": "records", "max_attempts": 1},
              {"name": "read", "host": "127.0.0.1", "path_prefix": "/%s/", "kind": "idempotent",
               "timeout_ms": 3000, "target_latency_ms": 100, "priority": 2,
               "service": "records", "max_attempts": 2}],
             "services": [
              {"name": "engines", "max_conns": 50, "engine": {"weights_mb": 100,
               "adapter_slots": 2, "loads_per_s": 4, "models": [
                {"name": "m1", "weights_mb": 60, "load_s": 0.3, "disk_s": 0.2, "warm_s": 0.1,
                 "adapters": 3, "adapter_mb": 1},
                {"name": "m2", "weights_mb": 60, "load_s": 0.3, "disk_s": 0.2, "warm_s": 0.1,
                 "adapters": 0, "adapter_mb": 1}]}},
              {"name": "records", "max_conns": 50}],
             "limits": {"max_body_bytes": 4194304}}
            """;

    final IoExecutor ioExecutor = IoThreads.create(2);
    final PlatformStoreStandIn store = new PlatformStoreStandIn(ioExecutor);
    final List<Gateway> gateways = new ArrayList<>();
    final List<GatewaySettings> gatewaySettings = new ArrayList<>();
    private final List<AutoCloseable> servers = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int requestCount;

    /** What gateways that are started from now on tolerate beyond quotas. */
    Optional<QuotaTolerance> quotaTolerance = Optional.empty();

    /** Retries in a window beyond a share of the requests, of gateways started from now on. */
    double retryAllowance = 50;

    /** Whether the gateways that are started from now on belong to the first start of a system. */
    boolean firstStart = true;

    /** Drain time of the gateways that are started from now on. */
    Duration drainTime = Duration.ofSeconds(8);

    /** Address of the store for the gateways that are started from now on. */
    InetSocketAddress storeAddress = store.address();

    /** Writes a configuration with these client accounts, a JSON list. */
    void configureAccounts(long version, String accounts) throws Exception {
        ObjectNode spec =
                (ObjectNode) Json.read(CONFIGURATION.formatted(version, "read").getBytes());
        spec.set("tenants", Json.read(accounts.getBytes()));
        ObjectNode open = spec.withArray("routes").get(3).deepCopy();
        open.put("name", "open").put("path_prefix", "/open/").put("public", true);
        spec.withArray("routes").add(open);
        store.put("config", "main", spec);
    }

    void configure(long version, String readPrefix) throws Exception {
        JsonNode spec = Json.read(CONFIGURATION.formatted(version, readPrefix).getBytes());
        store.put("config", "main", spec);
    }

    PlatformServerStandIn startServer(String id, String service, String... models) {
        PlatformServerStandIn server =
                new PlatformServerStandIn(ioExecutor, store, id, service, models);
        servers.add(server);
        return server;
    }

    ScriptedServer startScripted(
            String id, String service, List<String> models, ScriptedServer.Script script) {
        ScriptedServer server = new ScriptedServer(store, id, service, models, script);
        servers.add(server);
        return server;
    }

    Gateway startGateway(String name) throws Exception {
        GatewaySettings settings = newSettings(name);
        Gateway gateway = new Gateway(settings);
        gateway.start();
        gateways.add(gateway);
        gatewaySettings.add(settings);
        return gateway;
    }

    /** Starts a gateway in a process of its own, with the options of the deploy file. */
    GatewayChild startChild(String name) throws Exception {
        GatewayChild child = launchChild(newSettings(name));
        child.awaitReady();
        return child;
    }

    /** Starts a gateway in a process of its own without waiting until it is ready. */
    GatewayChild launchChild(GatewaySettings settings) throws Exception {
        GatewayChild child =
                new GatewayChild(Path.of("").toAbsolutePath(), childCommand(), settings);
        servers.add(child);
        gatewaySettings.add(settings);
        return child;
    }

    /** Returns the command of the deploy file with the classes under test. */
    static List<String> childCommand() throws Exception {
        List<String> command = new ArrayList<>(GatewayChild.command(Path.of("")));
        command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.removeIf(option -> option.startsWith("-XX:SharedArchiveFile"));
        String classPath =
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .filter(entry -> !entry.endsWith("test-classes"))
                        .collect(Collectors.joining(File.pathSeparator));
        command.set(command.indexOf("-cp") + 1, classPath);
        return command;
    }

    GatewaySettings newSettings(String name) {
        return new GatewaySettings(
                new InstanceId(name),
                new FailureDomain("home"),
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                storeAddress,
                drainTime,
                firstStart,
                Duration.ofSeconds(3),
                2,
                Duration.ofSeconds(5),
                Duration.ofSeconds(10),
                0.2,
                retryAllowance,
                2,
                100,
                1,
                WatchLimits.DEFAULT,
                quotaTolerance);
    }

    /** Waits until a condition holds, and fails after 20 s. */
    static void await(String description, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold within 20 s: " + description);
            }
            Thread.sleep(20);
        }
    }

    /** Sends a request with a new id to a gateway. An empty model sends no model header. */
    HttpResponse<String> send(int gateway, String path, String model, String body)
            throws Exception {
        requestCount++;
        HttpRequest.Builder request = request(gateway, path, lastRequestId(), body);
        if (!model.isEmpty()) {
            request.header("Tarragonlug-Model", model);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(int gateway, String path, String id, String body) {
        return HttpRequest.newBuilder(uri(gateway, path))
                .timeout(Duration.ofSeconds(15))
                .header("Tarragonlug-Request-Id", id)
                .header("Tarragonlug-Deadline-Ms", "9000")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /**
     * Sends a request for a stream without waiting for the answer. Many threads may call this.
     *
     * @param parts the parts of the prompt as the header lists them; empty for none
     * @return the answer; fails if the connection ends before the answer does
     */
    CompletableFuture<HttpResponse<String>> sendPrompt(
            int gateway, String path, String id, String model, String parts) {
        HttpRequest.Builder request =
                request(gateway, path, id, "prompt of " + id).header("Tarragonlug-Model", model);
        if (!parts.isEmpty()) {
            request.header("Tarragonlug-Prompt-Prefix", parts);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request with a body of any length. Many threads may call this. */
    CompletableFuture<HttpResponse<String>> sendBody(
            int gateway, String path, String id, byte[] body) {
        HttpRequest.Builder request = request(gateway, path, id, "");
        request.POST(HttpRequest.BodyPublishers.ofByteArray(body));
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for the answer. Many threads may call this. */
    CompletableFuture<HttpResponse<String>> sendAsync(
            int gateway, String path, String id, String model, String body) {
        HttpRequest.Builder request = request(gateway, path, id, body);
        if (!model.isEmpty()) {
            request.header("Tarragonlug-Model", model);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the id of the request sent last. */
    String lastRequestId() {
        return "request-" + requestCount;
    }

    /** Returns the address of a path at a gateway. */
    URI uri(int gateway, String path) {
        return URI.create(
                "http://127.0.0.1:"
                        + gatewaySettings.get(gateway).callerAddress().getPort()
                        + path);
    }

    int readiness(int gateway) throws Exception {
        URI uri =
                URI.create(
                        "http://127.0.0.1:"
                                + gatewaySettings.get(gateway).readinessAddress().getPort()
                                + "/tarragonlug/ready");
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    @Override
    public void close() throws Exception {
        gateways.forEach(Gateway::stop);
        for (AutoCloseable each : servers) {
            each.close();
        }
        store.close();
        ioExecutor.closeAsync().toFuture().get();
    }
}
