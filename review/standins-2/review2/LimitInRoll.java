package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines are stopped and started in turn while servers fill their places for adapters. Judged
 * is whether a server is ordered to load more adapters than it has places for.
 */
final class LimitInRoll extends Cases {
    private static final int GATEWAYS = 8;
    private static final int SERVERS = 8;
    private static final int CALLERS = 30;
    private static final int CALLER_PAUSE_MS = 200;
    private static final String ENGINE = "svc-models";
    private static final String[] MODELS = {"model1", "model2", "model3"};
    private static final int[] ADAPTERS = {37, 20, 20};

    /** Bounds of the small sites. */
    private static final int GRACE_MS = 8000;

    private static final int STOP_GAP_MS = 2000;
    private static final int RESTART_MS = 500;
    private static final int FIRST_STOP_MS = 3000;
    private static final int ROLL_MS = 80_000;

    private final AtomicInteger answered = new AtomicInteger();

    LimitInRoll(Record record, boolean trouble) throws IOException {
        super(record, trouble);
    }

    public static void main(String[] arguments) throws Exception {
        run(arguments[0], LimitInRoll::new);
    }

    @Override
    boolean play() throws Exception {
        ObjectNode configuration = configuration(10);
        ObjectNode engine = addEngine(addService(configuration, ENGINE));
        addModel(engine, MODELS[0], 65500, ADAPTERS[0]);
        addModel(engine, MODELS[1], 72700, ADAPTERS[1]);
        addModel(engine, MODELS[2], 72700, ADAPTERS[2]);
        ObjectNode route = addRoute(configuration, "/ask/", ENGINE, "streaming", 6000);
        route.put("target_latency_ms", 400);
        route.put("gap_target_ms", 400);
        route.put("session_affinity", true);
        route.put("resumable", true);
        store.put("config", "main", configuration);
        for (int index = 0; index < SERVERS; index++) {
            servers.add(
                    new Server(
                            "i-eng-" + index,
                            ENGINE,
                            "zone-" + "abc".charAt(index % 3),
                            store,
                            record,
                            MODELS[index % 3],
                            MODELS[(index + 1) % 3]));
            Thread.sleep(150);
        }
        startGateways(GATEWAYS);
        sleepUntil(record.millis() + 13_000);
        for (int index = 0; index < CALLERS; index++) {
            int number = index;
            HttpNode.daemon("caller", () -> requests(number));
        }
        long start = record.millis();
        record.line("traffic starts");
        sleepUntil(start + FIRST_STOP_MS);
        while (record.millis() < start + ROLL_MS && !broken()) {
            Optional<Gateway> planner = planner();
            if (trouble && planner.isPresent()) {
                HttpNode.daemon("restart", () -> restart(planner.get()));
            }
            for (int wait = 0; wait < STOP_GAP_MS && !broken(); wait += 100) {
                Thread.sleep(100);
            }
        }
        over = true;
        int orders = 0;
        for (Server server : servers) {
            orders += server.orders.size();
        }
        record.result("%d orders, %d requests answered", orders, answered.get());
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return broken();
    }

    /** Returns the machine that decides on orders, by its log: it is the next one to be restarted. */
    private Optional<Gateway> planner() throws IOException {
        for (Gateway gateway : gateways) {
            if (gateway.isRunning() && gateway.lastLogged("planning_").contains("planning_begun")) {
                return Optional.of(gateway);
            }
        }
        return Optional.empty();
    }

    private boolean broken() {
        return servers.stream().anyMatch(server -> server.overloaded);
    }

    private void restart(Gateway gateway) {
        try {
            gateway.terminate(GRACE_MS);
            Thread.sleep(RESTART_MS);
            if (!over) {
                gateway.start();
            }
        } catch (IOException | InterruptedException failed) {
            record.line("gateway %s did not start: %s", gateway.name, failed);
        }
    }

    private void requests(int number) {
        Random random = new Random(number);
        int count = 0;
        try {
            while (!over) {
                Gateway gateway = gateways.get(random.nextInt(gateways.size()));
                String id = "ask-" + number + "-" + count;
                count++;
                int place = random.nextInt(77);
                String model =
                        place < 37
                                ? MODELS[0] + "/a" + (place + 1)
                                : place < 57
                                        ? MODELS[1] + "/a" + (place - 36)
                                        : MODELS[2] + "/a" + (place - 56);
                long millis = record.millis();
                Caller.Answer answer =
                        Caller.send(
                                gateway,
                                "POST",
                                "/ask/x",
                                id,
                                6000,
                                Map.of(
                                        "Tarragonlug-Model",
                                        model,
                                        "Tarragonlug-Token-Count",
                                        "646,70",
                                        "Tarragonlug-Prompt-Prefix",
                                        "5c1e07a2:155,%x:491".formatted(random.nextInt())));
                if (answer.status() == 200 && answer.complete()) {
                    answered.incrementAndGet();
                }
                record.line(
                        "answer %s of %s sent at %d through %s: %d",
                        id, model, millis, gateway.name, answer.status());
                Thread.sleep(random.nextInt(2 * CALLER_PAUSE_MS));
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
