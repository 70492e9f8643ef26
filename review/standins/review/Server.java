package review;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a sound server: it registers in the store, runs requests and answers reports. Cases
 * change single answers by overriding methods.
 */
class Server {
    final Store store;
    final Record record;
    final String service;
    final String zone;
    final String id;
    final int slots;
    final Listener listener;
    final long born = System.currentTimeMillis();
    final Map<String, Set<String>> models = new TreeMap<>();
    final AtomicInteger running = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean gone;
    int seq;

    Server(Store store, Record record, String service, String zone, String id, int slots)
            throws Exception {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        this.id = id;
        this.slots = slots;
        this.listener = new Listener(this::serve);
    }

    /** Registers. A heartbeat that changes nothing but {@code seq} is left out of the store. */
    void start() {
        register();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    synchronized void register() {
        if (gone) {
            return;
        }
        store.put(
                "servers",
                id,
                Json.of(
                        "service", service, "address", listener.address(), "zone", zone,
                        "version", "v1", "slots", slots, "state", state, "cold_remaining_ms", 0,
                        "stage", "colocated", "models", modelList(), "seq", System.nanoTime(),
                        "born", born,
                        "available", Json.of("in_memory", List.of(), "on_disk", List.of())));
    }

    List<Object> modelList() {
        List<Object> list = new ArrayList<>();
        models.forEach(
                (name, adapters) ->
                        list.add(
                                Json.of(
                                        "name", name, "version", 1,
                                        "adapters", new ArrayList<>(adapters))));
        return list;
    }

    void hold(String model, String... adapters) {
        models.put(model, new TreeSet<>(List.of(adapters)));
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Message head = Message.readHead(in); head != null; head = Message.readHead(in)) {
            byte[] body = head.readBody(in);
            if (head.target().equals("/tarragonlug/report")) {
                out.write(report());
            } else if (head.target().equals("/tarragonlug/order")) {
                onOrder(
                        Json.object(Json.parse(new String(body, StandardCharsets.UTF_8))),
                        head,
                        out);
            } else {
                onRequest(head, body, out);
            }
            out.flush();
        }
    }

    synchronized byte[] report() {
        return Message.response(
                200,
                Map.of("content-type", "application/json"),
                Json.write(
                        Json.of(
                                "stage", "colocated", "models", modelList(), "busy", false,
                                "seq", seq, "queued", 0, "active", running.get(),
                                "kv_used", 1000, "kv_total", 232000, "handles", 0,
                                "born", born)));
    }

    /** Answers an order: as if its number of accepted orders differed, since no case needs orders. */
    void onOrder(Map<String, Object> order, Message head, OutputStream out) throws Exception {
        out.write(Message.response(409, Map.of(), "{}"));
    }

    /** Runs a request and answers it whole. */
    void onRequest(Message head, byte[] body, OutputStream out) throws Exception {
        String request = head.headers.getOrDefault("tarragonlug-request-id", "");
        if (!head.headers.getOrDefault("tarragonlug-expect-instance", id).equals(id)) {
            out.write(Message.response(421, Map.of("tarragonlug-instance-id", id), ""));
            return;
        }
        running.incrementAndGet();
        record.line("server " + id + " runs " + request + " body " + body.length);
        try {
            work(head);
            out.write(answer(request));
            record.line("server " + id + " answered " + request);
        } finally {
            running.decrementAndGet();
        }
    }

    byte[] answer(String request) {
        return Message.response(200, answerHeaders(request), "done by " + id + "\n");
    }

    /** Takes the time of a run. */
    void work(Message head) {
        sleep(20);
    }

    Map<String, String> answerHeaders(String request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("tarragonlug-request-id", request);
        headers.put("tarragonlug-response-seal", "seal-of-" + id + "-" + request);
        headers.put("tarragonlug-instance-id", id);
        headers.put("tarragonlug-server-load", running.get() + ",0," + slots);
        return headers;
    }
}
