package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One machine is stopped and started as in a rolling restart. Then the store comes back from a copy
 * from before that restart. Judged are the holders and epoch numbers of the orders at each server.
 */
final class HolderAfterEra extends Cases {
    private static final int GATEWAYS = 6;
    private static final String ENGINE = "svc-models";
    private static final String MODEL = "model1";
    private static final int ADAPTERS = 40;

    /** Bounds of the small sites. */
    private static final int LEASE_MS = 3000;

    private static final int GRACE_MS = 8000;

    HolderAfterEra(Record record, boolean trouble) throws IOException {
        super(record, trouble);
    }

    public static void main(String[] arguments) throws Exception {
        run(arguments[0], HolderAfterEra::new);
    }

    @Override
    boolean play() throws Exception {
        ObjectNode configuration = configuration(10);
        addModel(addEngine(addService(configuration, ENGINE)), MODEL, 65500, ADAPTERS);
        ObjectNode route = addRoute(configuration, "/ask/", ENGINE, "streaming", 6000);
        route.put("target_latency_ms", 400);
        route.put("gap_target_ms", 400);
        route.put("session_affinity", true);
        route.put("resumable", true);
        store.put("config", "main", configuration);
        for (int index = 0; index < 4; index++) {
            servers.add(new Server("i-eng-" + index, ENGINE, "zone-a", store, record, MODEL));
        }
        startGateways(GATEWAYS);
        for (int index = 0; index < 4; index++) {
            int offset = index;
            HttpNode.daemon("caller", () -> requests(offset));
        }
        long start = record.millis() + 15_000;
        sleepUntil(start);
        Gateway holder = lastHolder();
        record.line("a copy is taken at revision %d", store.takeCopy());
        sleepUntil(start + 500);
        holder.terminate(GRACE_MS);
        Thread.sleep(500);
        holder.start();
        sleepUntil(start + 6500);
        if (trouble) {
            record.line("the store is away at revision %d", store.revision());
            store.goAway();
            sleepUntil(start + 7500);
            store.comeBack();
            record.line("the store is back at revision %d", store.revision());
        }
        sleepUntil(start + 30_000);
        over = true;
        return judge();
    }

    /** Returns the gateway that gave the last order that a server carried out. */
    private Gateway lastHolder() {
        Server.Order last = null;
        for (Server server : servers) {
            for (Server.Order order : server.orders) {
                last = last == null || order.millis() > last.millis() ? order : last;
            }
        }
        if (last == null) {
            throw new IllegalStateException("no server has received an order");
        }
        String name = last.holder();
        record.line("the last order came from %s", name);
        return gateways.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    private void requests(int offset) {
        int count = 0;
        try {
            while (!over) {
                Gateway gateway = gateways.get((count + offset) % gateways.size());
                String id = "ask-" + offset + "-" + count;
                int adapter = 1 + (count * 7 + offset * 11) % ADAPTERS;
                count++;
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
                                        MODEL + "/a" + adapter,
                                        "Tarragonlug-Token-Count",
                                        "100,20",
                                        "Tarragonlug-Prompt-Prefix",
                                        "5c1e07a2:80,%x:20".formatted(0x91000 + count)));
                record.line(
                        "answer %s sent at %d through %s: %d",
                        id, millis, gateway.name, answer.status());
                Thread.sleep(150);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean judge() {
        int sameEpoch = 0;
        int lowerEpoch = 0;
        int turns = 0;
        int orders = 0;
        for (Server server : servers) {
            List<Server.Order> given = new ArrayList<>(server.orders);
            orders += given.size();
            Server.Order before = null;
            for (Server.Order order : given) {
                for (Server.Order other : given) {
                    if (other == order) {
                        break;
                    }
                    if (other.fence() == order.fence()
                            && !other.holder().equals(order.holder())) {
                        report(server, "two holders with one epoch number", other, order);
                        sameEpoch++;
                        break;
                    }
                }
                if (before != null && order.fence() < before.fence()) {
                    report(server, "a lower epoch number after a higher one", before, order);
                    lowerEpoch++;
                }
                if (before != null
                        && !before.holder().equals(order.holder())
                        && order.millis() - before.millis() < LEASE_MS) {
                    report(server, "turns within lease_ms", before, order);
                    turns++;
                }
                before = order;
            }
        }
        record.result(
                "%d orders; two holders with one epoch number: %d, a lower one after a higher"
                        + " one: %d, turns within lease_ms: %d",
                orders, sameEpoch, lowerEpoch, turns);
        return sameEpoch + lowerEpoch + turns > 0;
    }

    private void report(Server server, String what, Server.Order before, Server.Order order) {
        record.line(
                "%s at %s: %s with %d at %d, %s with %d at %d",
                what,
                server.id,
                before.holder(),
                before.fence(),
                before.millis(),
                order.holder(),
                order.fence(),
                order.millis());
    }
}
