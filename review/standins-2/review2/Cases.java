package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the deployment, its start and its end, and the exit status. */
abstract class Cases {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Record record;
    final boolean trouble;
    final Path directory;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    volatile boolean over;

    Cases(Record record, boolean trouble) throws IOException {
        this.record = record;
        this.trouble = trouble;
        this.directory = Files.createTempDirectory("review-2-");
        this.store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Plays the case and returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    static void run(String folder, Creator creator) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            record.line("trouble: %s", trouble);
            Cases played = null;
            try {
                played = creator.create(record, trouble);
                status = played.play() ? BROKEN : HELD;
                record.result(status == BROKEN ? "the rule was broken" : "the rule held");
            } catch (Exception failure) {
                record.result("the case could not run: %s", failure);
                failure.printStackTrace();
            } finally {
                if (played != null) {
                    played.end();
                }
            }
        }
        Runtime.getRuntime().halt(status);
    }

    interface Creator {
        Cases create(Record record, boolean trouble) throws Exception;
    }

    void end() {
        over = true;
        gateways.forEach(Gateway::close);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + directory);
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException gone) {
            // The folder has been removed already.
        }
    }

    void startGateways(int count) throws Exception {
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (int index = 0; index < count; index++) {
            String name = "edge-" + zones[index % zones.length] + "-" + (1 + index / zones.length);
            Gateway gateway =
                    new Gateway(
                            name, zones[index % zones.length], directory, store.address(), record);
            gateways.add(gateway);
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady(30_000);
        }
    }

    void sleepUntil(long millis) throws InterruptedException {
        long left = millis - record.millis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    static ObjectNode configuration(long version) {
        ObjectNode configuration = Store.JSON.createObjectNode();
        configuration.put("version", version);
        configuration.putArray("routes");
        configuration.putArray("services");
        ObjectNode limits = configuration.putObject("limits");
        limits.put("max_header_bytes", 16384);
        limits.put("max_body_bytes", 1048576);
        limits.put("header_timeout_ms", 5000);
        limits.put("idle_timeout_ms", 30000);
        return configuration;
    }

    static ObjectNode addRoute(
            ObjectNode configuration, String prefix, String service, String kind, int timeoutMs) {
        ObjectNode route = ((ArrayNode) configuration.get("routes")).addObject();
        route.put("name", "r-" + prefix.replace("/", ""));
        route.put("host", "shop.example");
        route.put("path_prefix", prefix);
        route.put("kind", kind);
        route.put("timeout_ms", timeoutMs);
        route.put("target_latency_ms", 121);
        route.put("priority", 0);
        route.put("service", service);
        route.put("max_attempts", 2);
        return route;
    }

    static ObjectNode addService(ObjectNode configuration, String name) {
        ObjectNode service = ((ArrayNode) configuration.get("services")).addObject();
        service.put("name", name);
        service.put("health_path", "/health");
        service.put("max_conns", 370);
        service.put("protocol", "h1");
        service.put("tls", false);
        return service;
    }

    static ObjectNode addEngine(ObjectNode service) {
        ObjectNode engine = service.putObject("engine");
        engine.put("slots", 64);
        engine.put("kv_tokens", 232000);
        engine.put("weights_mb", 200000);
        engine.put("adapter_slots", 8);
        engine.put("loads_per_s", 3.8);
        engine.putArray("models");
        return engine;
    }

    static void addModel(ObjectNode engine, String name, double weightsMegabytes, int adapters) {
        ObjectNode entry = ((ArrayNode) engine.get("models")).addObject();
        entry.put("name", name);
        entry.put("weights_mb", weightsMegabytes);
        entry.put("load_s", 6.0);
        entry.put("warm_s", 0.38);
        entry.put("disk_s", 1.0);
        entry.put("adapters", adapters);
        entry.put("adapter_mb", 40.0);
    }
}
