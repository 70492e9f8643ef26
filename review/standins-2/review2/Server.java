package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a server: a plain one, or a model server that carries out orders. */
final class Server implements AutoCloseable {
    /** A request that a server has run. */
    record Run(long millis, String id, String path, String server, String service) {}

    /** An order that a server has received. */
    record Order(long millis, String holder, long fence, String what, int status) {}

    private static final int SLOTS = 64;
    private static final int ADAPTER_SLOTS = 8;
    private static final int ADAPTER_LOAD_MILLIS = 8;
    private static final int EVENTS = 14;
    private static final int EVENT_MILLIS = 15;
    private static final int REPORT_AGE_MILLIS = 100;
    private static final int HEARTBEAT_MILLIS = 1200;

    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final List<Order> orders = new CopyOnWriteArrayList<>();
    private final Store store;
    private final Record record;
    private final HttpNode node;
    private final String zone;
    private final long born = System.currentTimeMillis();
    private final Map<String, Set<String>> models = new TreeMap<>();
    private final Set<String> pending = new TreeSet<>();
    private final Map<String, Integer> adapterUses = new TreeMap<>();
    private final AtomicInteger active = new AtomicInteger();
    private final boolean engine;
    private ObjectNode olderReport;
    private ObjectNode newerReport;
    private long seq;
    private boolean closed;
    volatile boolean overloaded;
    private String state = "ready";

    Server(String id, String service, String zone, Store store, Record record, String... initial)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.engine = initial.length > 0;
        for (String model : initial) {
            models.put(model, new TreeSet<>());
        }
        node = new HttpNode(this::handle);
        HttpNode.daemon("heartbeat", this::heartbeats);
        HttpNode.daemon("reports", this::reports);
    }

    /** Writes the entry again and again; a store that holds it already does not change. */
    private void heartbeats() {
        try {
            while (true) {
                synchronized (this) {
                    if (closed) {
                        return;
                    }
                    register();
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized long register() {
        ObjectNode entry = Store.JSON.createObjectNode();
        entry.put("service", service);
        entry.put("address", node.address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", SLOTS);
        entry.put("state", state);
        entry.put("cold_remaining_ms", 0);
        entry.put("born", born);
        if (engine) {
            entry.put("stage", "colocated");
            entry.set("models", modelList());
            ObjectNode available = entry.putObject("available");
            ArrayNode names = available.putArray("in_memory");
            models.keySet().forEach(names::add);
            available.putArray("on_disk");
        }
        entry.put("seq", 1);
        return store.put("servers", id, entry);
    }

    /** Reports that the server leaves; returns the revision of the entry. */
    synchronized long drain() {
        state = "draining";
        return register();
    }

    private ArrayNode modelList() {
        ArrayNode list = Store.JSON.createArrayNode();
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

    private void handle(HttpNode.Exchange exchange) throws Exception {
        HttpNode.Request request = exchange.request();
        String path = request.path();
        if (path.equals("/health")) {
            exchange.reply(
                    new HttpNode.Reply(
                            state.equals("ready") ? 200 : 503,
                            Map.of("Tarragonlug-Instance-Id", id),
                            new byte[0]));
        } else if (isForOther(request)) {
            misdirected(exchange);
        } else if (path.equals("/tarragonlug/report")) {
            exchange.reply(json(200, laggingReport()));
        } else if (path.equals("/tarragonlug/order")) {
            exchange.reply(order(Store.JSON.readTree(request.body())));
        } else if (path.startsWith("/tarragonlug/")) {
            exchange.reply(new HttpNode.Reply(404, Map.of(), new byte[0]));
        } else {
            run(exchange);
        }
    }

    private boolean isForOther(HttpNode.Request request) {
        String expected = request.headers().get("tarragonlug-expect-instance");
        return expected != null && !expected.equals(id);
    }

    private void misdirected(HttpNode.Exchange exchange) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Tarragonlug-Instance-Id", id);
        String requestId = exchange.request().headers().get("tarragonlug-request-id");
        if (requestId != null) {
            headers.put("Tarragonlug-Request-Id", requestId);
        }
        exchange.reply(new HttpNode.Reply(421, headers, new byte[0]));
    }

    private static HttpNode.Reply json(int status, JsonNode body) throws IOException {
        return new HttpNode.Reply(
                status,
                Map.of("Content-Type", "application/json"),
                Store.JSON.writeValueAsBytes(body));
    }

    /** Returns a report whose values are some hundred milliseconds old at most. */
    private synchronized ObjectNode laggingReport() {
        return olderReport == null ? report() : olderReport;
    }

    private void reports() {
        try {
            while (true) {
                synchronized (this) {
                    if (closed) {
                        return;
                    }
                    olderReport = newerReport;
                    newerReport = report();
                }
                Thread.sleep(REPORT_AGE_MILLIS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized ObjectNode report() {
        ObjectNode body = Store.JSON.createObjectNode();
        body.put("stage", "colocated");
        body.set("models", modelList());
        ArrayNode inTransit = body.putArray("pending");
        pending.forEach(each -> inTransit.add(each + "@1"));
        body.put("busy", false);
        body.put("seq", seq);
        body.put("queued", 0);
        body.put("active", active.get());
        body.put("kv_used", 0);
        body.put("kv_total", 232000);
        body.put("handles", 0);
        return body;
    }

    private synchronized HttpNode.Reply order(JsonNode body) throws IOException {
        String model = body.path("model").asText();
        String adapter = body.path("adapter").asText("");
        boolean load = body.path("op").asText().equals("model_load");
        int status = outcome(body, model, adapter, load);
        long millis = record.millis();
        String what = body.path("op").asText() + " " + model + "/" + adapter;
        Order order =
                new Order(
                        millis,
                        body.path("holder").asText(),
                        body.path("fence").asLong(),
                        what,
                        status);
        orders.add(order);
        record.line(
                "order at %s holder %s fence %d %s -> %d",
                id, order.holder(), order.fence(), what, status);
        return new HttpNode.Reply(status, Map.of(), new byte[0]);
    }

    private int outcome(JsonNode body, String model, String adapter, boolean load) {
        Set<String> adapters = models.get(model);
        if (body.path("precondition").asLong(seq) != seq || adapters == null) {
            return 409;
        }
        if (adapter.isEmpty()) {
            return load ? 200 : 409;
        }
        String name = model + "/" + adapter;
        if (load == (adapters.contains(adapter) || pending.contains(name))) {
            return 200;
        }
        if (!load && adapterUses.getOrDefault(name, 0) > 0) {
            return 409;
        }
        seq++;
        if (!load) {
            adapters.remove(adapter);
            return 200;
        }
        int held = pending.size() + models.values().stream().mapToInt(Set::size).sum();
        if (held >= ADAPTER_SLOTS) {
            overloaded = true;
            record.line("server %s is ordered to load %s beside %d adapters", id, name, held);
        }
        pending.add(name);
        HttpNode.daemon("adapter", () -> finishLoad(adapters, adapter, name));
        return 202;
    }

    private void finishLoad(Set<String> adapters, String adapter, String name) {
        try {
            Thread.sleep(ADAPTER_LOAD_MILLIS);
        } catch (InterruptedException ended) {
            return;
        }
        synchronized (this) {
            pending.remove(name);
            adapters.add(adapter);
        }
    }

    private synchronized boolean holds(String name) {
        if (name == null) {
            return true;
        }
        int slash = name.indexOf('/');
        Set<String> adapters = models.get(slash < 0 ? name : name.substring(0, slash));
        return adapters != null && (slash < 0 || adapters.contains(name.substring(slash + 1)));
    }

    private void run(HttpNode.Exchange exchange) throws Exception {
        HttpNode.Request request = exchange.request();
        String model = request.headers().get("tarragonlug-model");
        synchronized (this) {
            if (!holds(model)) {
                misdirected(exchange);
                return;
            }
            if (model != null) {
                adapterUses.merge(model, 1, Integer::sum);
            }
        }
        String requestId = request.headers().getOrDefault("tarragonlug-request-id", "");
        Run run = new Run(record.millis(), requestId, request.path(), id, service);
        runs.add(run);
        record.line("run %s %s at %s of %s", requestId, request.path(), id, service);
        active.incrementAndGet();
        try {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Tarragonlug-Request-Id", requestId);
            headers.put("Tarragonlug-Response-Seal", "seal." + id + "." + requestId);
            headers.put("Tarragonlug-Server-Load", active.get() + ",0," + SLOTS);
            if (request.headers().containsKey("tarragonlug-model")) {
                stream(exchange, headers);
            } else {
                Thread.sleep(5);
                byte[] body = ("run by " + service + "\n").getBytes(StandardCharsets.UTF_8);
                exchange.reply(new HttpNode.Reply(200, headers, body));
            }
        } finally {
            active.decrementAndGet();
            if (model != null) {
                synchronized (this) {
                    adapterUses.merge(model, -1, Integer::sum);
                }
            }
        }
    }

    private void stream(HttpNode.Exchange exchange, Map<String, String> headers) throws Exception {
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        exchange.output().write(HttpNode.head(200, headers));
        int first =
                Integer.parseInt(
                        exchange.request().headers().getOrDefault("last-event-id", "-1"));
        for (int number = first + 1; number < EVENTS; number++) {
            Thread.sleep(EVENT_MILLIS);
            String event = "id: " + number + "\ndata: part " + number + "\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            exchange.output().write(chunk.getBytes(StandardCharsets.UTF_8));
            exchange.output().flush();
        }
        exchange.output().write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        exchange.output().flush();
    }

    @Override
    public synchronized void close() {
        closed = true;
        node.close();
    }
}
