import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.tarragonlug.misc.JsonTree;

/**
 * A trial with gateways as separate processes. It exits with 1 if the rule was broken, with 0 if it
 * held, and with 2 if the trial could not run. With {@code TROUBLE=0} there is no disruption.
 */
abstract class Trial {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    static final String HOST = "lessons.example";
    static final String ENGINES = "tutor-models";

    private static final long LONGEST_SECONDS = 115;
    private static final List<String> ZONES = List.of("lima-a", "lima-b", "lima-c");

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final StoreStandIn store;
    final List<GatewayRun> gateways = new ArrayList<>();
    final List<ModelServer> servers = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review-3-");
    private final Map<Integer, AtomicInteger> statuses = new TreeMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean callersStopped;

    Trial(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        store = new StoreStandIn(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        LoopbackServer.startThread(this::endLate);
    }

    private void endLate() {
        try {
            Thread.sleep(LONGEST_SECONDS * 1000);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        record.state("the trial takes too long");
        finish(NOT_RUN);
    }

    /** Runs the trial and ends this process. */
    final void run() {
        int status;
        try {
            record.state(trouble ? "with the disruption" : "without the disruption");
            status = play();
        } catch (IOException | InterruptedException | RuntimeException failure) {
            record.state("could not run: " + failure);
            status = NOT_RUN;
        }
        finish(status);
    }

    private void finish(int status) {
        record.state("answers to callers by status (0: none): " + statuses);
        record.state("exit status " + status);
        endProcesses();
        record.close();
        Runtime.getRuntime().halt(status);
    }

    private void endProcesses() {
        gateways.forEach(GatewayRun::destroy);
        deleteFolder();
    }

    private void deleteFolder() {
        String[] names = folder.toFile().list();
        for (String name : names == null ? new String[0] : names) {
            folder.resolve(name).toFile().delete();
        }
        folder.toFile().delete();
    }

    abstract int play() throws IOException, InterruptedException;

    /** Starts gateways in different zones and waits until they are ready. */
    final void startGateways(int count) throws IOException, InterruptedException {
        for (int index = 0; index < count; index++) {
            String zone = ZONES.get(index % ZONES.size());
            String name = "edge-" + zone + "-1";
            gateways.add(new GatewayRun(name, zone, store, folder, record));
        }
        for (GatewayRun gateway : gateways) {
            gateway.start();
        }
        for (GatewayRun gateway : gateways) {
            if (!gateway.awaitReady(20)) {
                throw new IOException(gateway.name() + " does not get ready");
            }
        }
    }

    final ModelServer startServer(List<String> held, List<String> onDisk, long eventMillis)
            throws IOException {
        int number = servers.size() + 1;
        String zone = ZONES.get(number % ZONES.size());
        ModelServer server =
                new ModelServer(
                        "i-" + number, ENGINES, zone, held, onDisk, eventMillis, store, record);
        servers.add(server);
        return server;
    }

    /** Returns a configuration with a resumable streaming route to the model servers. */
    static ObjectNode configuration(long version, List<String> models, int adapters) {
        ObjectNode configuration = JsonTree.object();
        configuration.put("version", version);
        ArrayNode routes = configuration.putArray("routes");
        routes.add(streamingRoute("/ask/", true));
        routes.add(streamingRoute("/score/", false));
        ArrayNode services = configuration.putArray("services");
        ObjectNode service = services.addObject();
        service.put("name", ENGINES);
        service.put("health_path", "/health");
        service.put("max_conns", 370);
        ObjectNode engine = service.putObject("engine");
        engine.put("slots", ModelServer.SLOTS);
        engine.put("weights_mb", ModelServer.WEIGHTS_MEGABYTES);
        engine.put("adapter_slots", ModelServer.ADAPTER_SLOTS);
        engine.put("loads_per_s", 3.8);
        ArrayNode list = engine.putArray("models");
        for (String model : models) {
            ObjectNode entry = list.addObject();
            entry.put("name", model);
            entry.put("weights_mb", ModelServer.MODEL_MEGABYTES);
            entry.put("load_s", 6.0);
            entry.put("warm_s", 0.3);
            entry.put("disk_s", 0.3);
            entry.put("adapters", adapters);
            entry.put("adapter_mb", 40);
        }
        ObjectNode limits = configuration.putObject("limits");
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 4_194_304);
        limits.put("header_timeout_ms", 5000);
        limits.put("idle_timeout_ms", 30_000);
        return configuration;
    }

    private static ObjectNode streamingRoute(String prefix, boolean resumable) {
        ObjectNode route = JsonTree.object();
        route.put("name", "route" + prefix.replace("/", "-"));
        route.put("host", HOST);
        route.put("path_prefix", prefix);
        route.put("kind", "streaming");
        route.put("resumable", resumable);
        route.put("timeout_ms", 17_000);
        route.put("target_latency_ms", 3000);
        route.put("gap_target_ms", 400);
        route.put("priority", 0);
        route.put("service", ENGINES);
        route.put("max_attempts", resumable ? 2 : 1);
        route.put("session_affinity", true);
        return route;
    }

    /** Sends a generation request and records it; returns the answer. */
    final Caller.Answer ask(GatewayRun gateway, String path, String key, int outputTokens) {
        int number = requests.incrementAndGet();
        String id = "q" + number;
        Map<String, String> headers =
                Map.of(
                        "Host", HOST,
                        "Tarragonlug-Request-Id", id,
                        "Tarragonlug-Model", key,
                        "Tarragonlug-Token-Count", "646," + outputTokens,
                        "Tarragonlug-Prompt-Prefix",
                                Integer.toHexString(key.hashCode()) + ":155," + number + ":491",
                        "Tarragonlug-Deadline-Ms", "17000");
        record.write("caller", "sends " + id + " for " + key + " to " + gateway.name());
        Caller.Answer answer =
                Caller.send(gateway.callerPort(), "POST", path, headers, new byte[1300], 17_500);
        synchronized (statuses) {
            int status = answer.complete() || answer.status() != 200 ? answer.status() : -200;
            statuses.computeIfAbsent(status, each -> new AtomicInteger()).incrementAndGet();
        }
        record.write(
                "caller",
                id + " answered " + answer.status() + (answer.complete() ? "" : ", not whole"));
        return answer;
    }

    /** Starts callers that each send a request, wait for the answer and pause. */
    final void startCallers(int count, long pauseMillis, CallerStep step) {
        for (int index = 0; index < count; index++) {
            int number = index;
            LoopbackServer.startThread(
                    () -> {
                        for (int round = 0; !callersStopped; round++) {
                            step.send(number, round);
                            pause(pauseMillis);
                        }
                    });
        }
    }

    /** What a caller does in a round. */
    interface CallerStep {
        void send(int caller, int round);
    }

    final void stopCallers() {
        callersStopped = true;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the holders of the order leases with their fences, by lease. */
    final Map<String, String> leases(int groups) {
        Map<String, String> holders = new TreeMap<>();
        for (int group = 0; group < groups; group++) {
            String name = "orders-" + group;
            String holder = store.read("leases", name).path("holder").asText("");
            String released = store.read("leases", name).path("released").asBoolean() ? "?" : "";
            holders.put(
                    name,
                    holder + released + "#" + store.read("leases", name).path("fence").asLong());
        }
        return holders;
    }
}
