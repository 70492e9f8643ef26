package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The store comes back from a copy that is some seconds old. What the operator wrote since is
 * written again, and a newer configuration follows.
 */
final class ConfigurationAfterEra extends Cases {
    private static final int GATEWAYS = 4;
    private static final String OLD = "svc-old";
    private static final String NEW = "svc-new";

    /** Bounds of the small sites. */
    private static final int CONFIG_APPLY_MS = 2000;

    private static final int MAX_STRETCH_MS = 5000;

    private record Sent(long millis, String gateway, String path, Caller.Answer answer) {}

    private final List<Sent> sent = new CopyOnWriteArrayList<>();

    ConfigurationAfterEra(Record record, boolean trouble) throws IOException {
        super(record, trouble);
    }

    public static void main(String[] arguments) throws Exception {
        run(arguments[0], ConfigurationAfterEra::new);
    }

    @Override
    boolean play() throws Exception {
        ObjectNode first = base(10, OLD);
        store.put("config", "main", first);
        for (int index = 0; index < 2; index++) {
            servers.add(new Server("i-old-" + index, OLD, "zone-a", store, record));
            servers.add(new Server("i-new-" + index, NEW, "zone-b", store, record));
        }
        startGateways(GATEWAYS);
        HttpNode.daemon("alpha", () -> requests("/alpha/x"));
        HttpNode.daemon("gamma", () -> requests("/gamma/x"));
        long start = record.millis() + 8000;
        sleepUntil(start);
        record.line("the store stands at revision %d; a copy is taken", store.takeCopy());
        sleepUntil(start + 5500);
        ObjectNode second = base(12, OLD);
        addRoute(second, "/beta/", OLD, "idempotent", 1500);
        record.line("version 12 acknowledged at revision %d", write(second));
        sleepUntil(start + 6500);
        if (trouble) {
            record.line("the store is away at revision %d", store.revision());
            store.goAway();
            sleepUntil(start + 7500);
            store.comeBack();
            record.line("the store is back at revision %d", store.revision());
            sleepUntil(start + 7800);
            record.line("version 12 written again at revision %d", write(second));
        }
        sleepUntil(start + 8800);
        ObjectNode third = base(15, NEW);
        addRoute(third, "/beta/", OLD, "idempotent", 1500);
        addRoute(third, "/gamma/", NEW, "idempotent", 1500);
        record.line("version 15 acknowledged at revision %d", write(third));
        long acknowledged = record.millis();
        sleepUntil(acknowledged + CONFIG_APPLY_MS + MAX_STRETCH_MS + 15_000);
        over = true;
        return judge(acknowledged + CONFIG_APPLY_MS + MAX_STRETCH_MS);
    }

    private long write(ObjectNode configuration) {
        return store.put("config", "main", configuration);
    }

    private static ObjectNode base(long version, String alphaService) {
        ObjectNode configuration = configuration(version);
        addService(configuration, OLD);
        addService(configuration, NEW);
        addRoute(configuration, "/alpha/", alphaService, "idempotent", 1500);
        return configuration;
    }

    private void requests(String path) {
        int count = 0;
        try {
            while (!over) {
                Gateway gateway = gateways.get(count % gateways.size());
                String id = path.substring(1, 6) + "-" + count;
                count++;
                long millis = record.millis();
                Caller.Answer answer = Caller.send(gateway, "GET", path, id, 1500, Map.of());
                sent.add(new Sent(millis, gateway.name, path, answer));
                record.line(
                        "answer %s sent at %d through %s: %d %s",
                        id,
                        millis,
                        gateway.name,
                        answer.status(),
                        answer.isSealed() ? answer.body().trim() : "(the system's own)");
                Thread.sleep(100);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Judges the requests that were sent after the bound: version 15 must be in force. */
    private boolean judge(long bound) {
        int counted = 0;
        int byOldService = 0;
        int unknownRoute = 0;
        for (Sent each : sent) {
            if (each.millis() <= bound) {
                continue;
            }
            counted++;
            boolean alpha = each.path().startsWith("/alpha/");
            byOldService += alpha && each.answer().body().contains(OLD) ? 1 : 0;
            unknownRoute += !alpha && each.answer().status() == 404 ? 1 : 0;
        }
        record.result(
                "after the bound: %d requests, %d run by the service of an older version,"
                        + " %d refused with 404 on a route that is there",
                counted, byOldService, unknownRoute);
        if (counted == 0) {
            throw new IllegalStateException("no request was sent after the bound");
        }
        return byOldService + unknownRoute > 0;
    }
}
