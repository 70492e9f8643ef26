import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tarragonlug.misc.JsonTree;

/**
 * A model server of the platform, which holds models and adapters, takes orders and runs streams.
 *
 * <p>Orders follow the protocol page: an order is refused with 409 while another one is in progress
 * or if the expected count differs; each order that is answered 200 or 202 is accepted and counts.
 * An adapter that requests use is unloaded when they have ended (202), any other at once (200). A
 * server that is ordered to hold more than it can crashes, and is back after some seconds, empty.
 */
final class ModelServer extends LoopbackServer {
    static final int ADAPTER_SLOTS = 8;
    static final int WEIGHTS_MEGABYTES = 200_000;
    static final int MODEL_MEGABYTES = 65_000;
    static final int SLOTS = 64;

    private static final int TOKENS_PER_EVENT = 5;
    private static final long ADAPTER_LOAD_MILLIS = 7;
    private static final long MODEL_LOAD_MILLIS = 300;
    private static final long MODEL_UNLOAD_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long DOWN_MILLIS = 4000;

    /** An order as it arrived. */
    record Order(double seconds, String holder, long fence, String text, int status) {}

    private final String id;
    private final String service;
    private final String zone;
    private final StoreStandIn store;
    private final Record record;
    private final long eventMillis;
    private final List<Order> orders = new ArrayList<>();
    private final List<String> excesses = new ArrayList<>();
    private final Map<String, TreeSet<String>> models = new TreeMap<>();
    private final Set<String> copies = new TreeSet<>();
    private final Set<String> loadingAdapters = new TreeSet<>();
    private final Set<String> leavingAdapters = new TreeSet<>();
    private final Map<String, Integer> uses = new HashMap<>();
    private String changingModel = "";
    private long born = System.currentTimeMillis();
    private long acceptedOrders;
    private int running;
    private int lostRuns;
    private boolean down;

    /**
     * Starts a server that holds some models.
     *
     * @param held the models that it holds
     * @param onDisk the models that it has copies of
     * @param eventMillis time between two events of a stream
     */
    ModelServer(
            String id,
            String service,
            String zone,
            List<String> held,
            List<String> onDisk,
            long eventMillis,
            StoreStandIn store,
            Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.eventMillis = eventMillis;
        held.forEach(model -> models.put(model, new TreeSet<>()));
        copies.addAll(held);
        copies.addAll(onDisk);
        listen();
        register();
        startThread(this::sendHeartbeats);
    }

    String id() {
        return id;
    }

    synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Returns the orders to hold more than the server can. */
    synchronized List<String> excesses() {
        return List.copyOf(excesses);
    }

    /** Returns the number of runs that ended with a crash of the server. */
    synchronized int lostRuns() {
        return lostRuns;
    }

    /** Writes the server's entry if it has changed. */
    synchronized void register() {
        if (!down) {
            store.put("servers", id, entry());
        }
    }

    private void sendHeartbeats() {
        while (true) {
            sleep(HEARTBEAT_MILLIS);
            register();
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private ObjectNode entry() {
        ObjectNode entry = JsonTree.object();
        entry.put("service", service);
        entry.put("address", address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", SLOTS);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("born", born);
        entry.put("seq", 1);
        entry.put("stage", "colocated");
        entry.set("models", modelList());
        ObjectNode available = entry.putObject("available");
        ArrayNode onDisk = available.putArray("on_disk");
        available.putArray("in_memory");
        copies.forEach(onDisk::add);
        return entry;
    }

    private ArrayNode modelList() {
        ArrayNode list = JsonTree.object().putArray("models");
        models.forEach(
                (name, adapters) -> {
                    ObjectNode model = list.addObject();
                    model.put("name", name);
                    model.put("version", 1);
                    ArrayNode names = model.putArray("adapters");
                    adapters.forEach(names::add);
                });
        return list;
    }

    @Override
    void answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String target = request.word(1);
        String expected = request.header("tarragonlug-expect-instance", id);
        if (!expected.equals(id)) {
            HttpMessage.writeAnswer(out, 421, Map.of("Tarragonlug-Instance-Id", id), new byte[0]);
        } else if (target.equals("/tarragonlug/report")) {
            HttpMessage.writeAnswer(
                    out, 200, Map.of("Content-Type", "application/json"), JsonTree.bytes(report()));
        } else if (target.equals("/tarragonlug/order")) {
            int status = order(JsonTree.read(request.body()));
            HttpMessage.writeAnswer(out, status, Map.of(), new byte[0]);
        } else if (target.startsWith("/tarragonlug/hold")) {
            // No room to reserve.
            HttpMessage.writeAnswer(out, 503, Map.of(), new byte[0]);
        } else {
            run(request, out);
        }
    }

    private synchronized ObjectNode report() {
        ObjectNode report = JsonTree.object();
        report.put("stage", "colocated");
        report.set("models", modelList());
        report.put("busy", !changingModel.isEmpty());
        report.put("seq", acceptedOrders);
        report.put("queued", 0);
        report.put("active", running);
        report.put("kv_used", 0);
        report.put("kv_total", 232_000);
        report.put("handles", 0);
        report.put("born", born);
        ArrayNode pending = report.putArray("pending");
        loadingAdapters.forEach(key -> pending.add(key + "@1"));
        return report;
    }

    // Orders

    private synchronized int order(JsonNode order) {
        String adapter = order.path("adapter").asText("");
        String model = order.path("model").asText();
        boolean load = order.path("op").asText().equals("model_load");
        boolean refused =
                !changingModel.isEmpty()
                        || order.path("precondition").asLong(acceptedOrders) != acceptedOrders;
        int status = refused ? 409 : execute(load, model, adapter);
        String key = adapter.isEmpty() ? model : model + "/" + adapter;
        String text = (load ? "load " : "unload ") + key;
        String holder = order.path("holder").asText();
        long fence = order.path("fence").asLong();
        orders.add(new Order(record.seconds(), holder, fence, text, status));
        record.write(
                id,
                "order " + text + " of " + holder + ", fence " + fence + ", expected count "
                        + order.path("precondition") + ": " + status + "; adapters "
                        + adapterCount());
        return status;
    }

    private int adapterCount() {
        return loadingAdapters.size() + models.values().stream().mapToInt(Set::size).sum();
    }

    private int execute(boolean load, String model, String adapter) {
        if (!adapter.isEmpty() && !models.containsKey(model)) {
            return 400;
        }
        acceptedOrders++;
        if (adapter.isEmpty()) {
            return load ? loadModel(model) : unloadModel(model);
        }
        String key = model + "/" + adapter;
        return load ? loadAdapter(model, adapter, key) : unloadAdapter(model, adapter, key);
    }

    private int loadModel(String model) {
        if (models.containsKey(model)) {
            return 200;
        }
        int megabytes = (models.size() + 1) * MODEL_MEGABYTES;
        if (megabytes > WEIGHTS_MEGABYTES) {
            exceed("model " + model + " with " + models.keySet() + ": " + megabytes + " MB");
            return 202;
        }
        change(model, MODEL_LOAD_MILLIS, () -> models.put(model, new TreeSet<>()));
        return 202;
    }

    private int unloadModel(String model) {
        if (!models.containsKey(model)) {
            return 200;
        }
        change(model, MODEL_UNLOAD_MILLIS, () -> models.remove(model));
        return 202;
    }

    private void change(String model, long millis, Runnable effect) {
        changingModel = model;
        long run = born;
        startThread(
                () -> {
                    sleep(millis);
                    synchronized (this) {
                        if (run == born && !down) {
                            changingModel = "";
                            copies.add(model);
                            effect.run();
                        }
                    }
                    register();
                });
    }

    private int loadAdapter(String model, String adapter, String key) {
        if (models.get(model).contains(adapter) || loadingAdapters.contains(key)) {
            return 200;
        }
        int adapters = adapterCount() + 1;
        if (adapters > ADAPTER_SLOTS) {
            exceed("adapter " + key + " as number " + adapters + "; in use " + usedAdapters());
            return 202;
        }
        loadingAdapters.add(key);
        long run = born;
        startThread(
                () -> {
                    sleep(ADAPTER_LOAD_MILLIS);
                    synchronized (this) {
                        if (run == born && loadingAdapters.remove(key)) {
                            models.computeIfPresent(model, (name, held) -> with(held, adapter));
                        }
                    }
                });
        return 202;
    }

    private static TreeSet<String> with(TreeSet<String> held, String adapter) {
        held.add(adapter);
        return held;
    }

    private Set<String> usedAdapters() {
        Set<String> used = new TreeSet<>();
        uses.forEach(
                (key, count) -> {
                    if (count > 0 && key.contains("/")) {
                        used.add(key);
                    }
                });
        return used;
    }

    private int unloadAdapter(String model, String adapter, String key) {
        if (uses.getOrDefault(key, 0) > 0) {
            leavingAdapters.add(key);
            return 202;
        }
        models.get(model).remove(adapter);
        return 200;
    }

    /** Crashes, because an order asks for more than the server holds. */
    private void exceed(String what) {
        excesses.add(what);
        record.write(id, "ORDERED TO HOLD TOO MUCH: " + what + "; it crashes");
        down = true;
        lostRuns += running;
        startThread(
                () -> {
                    reset();
                    sleep(DOWN_MILLIS);
                    startAgain();
                });
    }

    private void startAgain() {
        synchronized (this) {
            models.clear();
            loadingAdapters.clear();
            leavingAdapters.clear();
            uses.clear();
            changingModel = "";
            acceptedOrders = 0;
            running = 0;
            born = System.currentTimeMillis();
            down = false;
        }
        try {
            listen();
        } catch (IOException inUse) {
            record.write(id, "does not start again: " + inUse);
            return;
        }
        record.write(id, "started again");
        register();
    }

    // Requests

    private void run(HttpMessage request, OutputStream out)
            throws IOException, InterruptedException {
        String requestId = request.header("tarragonlug-request-id", "");
        String key = request.header("tarragonlug-model", "");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Tarragonlug-Request-Id", requestId);
        headers.put("Tarragonlug-Instance-Id", id);
        long start;
        synchronized (this) {
            headers.put("Tarragonlug-Server-Load", running + ",0," + SLOTS);
            if (down) {
                throw new IOException("the server is down");
            }
            if (!holds(key)) {
                HttpMessage.writeAnswer(out, 421, headers, new byte[0]);
                return;
            }
            if (leavingAdapters.contains(key) || changingModel.equals(modelOf(key))) {
                headers.put("Tarragonlug-Not-Executed", "1");
                HttpMessage.writeAnswer(out, 503, headers, new byte[0]);
                return;
            }
            running++;
            uses.merge(key, 1, Integer::sum);
            start = born;
        }
        record.write(id, "runs " + requestId + " for " + key);
        boolean complete = false;
        try {
            headers.put("Tarragonlug-Response-Seal", "seal." + requestId);
            stream(request, requestId, headers, out);
            complete = true;
        } finally {
            record.write(id, "run of " + requestId + (complete ? " complete" : " broken off"));
            onRunEnded(key, start);
        }
    }

    private static String modelOf(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? key : key.substring(0, slash);
    }

    private boolean holds(String key) {
        Set<String> adapters = models.get(modelOf(key));
        int slash = key.indexOf('/');
        return adapters != null && (slash < 0 || adapters.contains(key.substring(slash + 1)));
    }

    private void stream(
            HttpMessage request, String requestId, Map<String, String> headers, OutputStream out)
            throws IOException, InterruptedException {
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        out.write(HttpMessage.head("HTTP/1.1 200 OK", headers));
        int tokens = Integer.parseInt(request.header("tarragonlug-token-count", "0,5").split(",")[1]);
        int first = Integer.parseInt(request.header("last-event-id", "0")) + 1;
        for (int number = first; number <= tokens / TOKENS_PER_EVENT; number++) {
            String event = "id: " + number + "\ndata: part " + number + " of " + requestId + "\n\n";
            out.write(HttpMessage.chunk(event.getBytes(StandardCharsets.UTF_8)));
            out.flush();
            Thread.sleep(eventMillis);
        }
        out.write(HttpMessage.chunk(new byte[0]));
        out.flush();
    }

    private synchronized void onRunEnded(String key, long start) {
        if (start != born || down) {
            return;
        }
        running--;
        uses.merge(key, -1, Integer::sum);
        if (uses.get(key) == 0 && leavingAdapters.remove(key)) {
            models.get(modelOf(key)).remove(key.substring(key.indexOf('/') + 1));
        }
    }
}
