package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.transport.api.IoExecutor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tarragonlug.http.JsonFields;

/**
 * Stand-in for a backend server on the platform. It registers in the store, answers plain calls,
 * streams events, executes orders and reports its state.
 */
public final class PlatformServerStandIn implements AutoCloseable {
    private static final int EVENTS_PER_STREAM = 4;
    private static final long EVENT_PAUSE_MILLIS = 20;
    private static final long LOAD_MILLIS = 150;
    private static final double NANOS_PER_SECOND = 1e9;

    private final StandInServer server;
    private final PlatformStoreStandIn store;
    private final String name;
    private final String service;
    private final Map<String, Set<String>> models = new LinkedHashMap<>();
    private final Map<String, Integer> runsByRequestId = new ConcurrentHashMap<>();
    private final List<String> acceptedOrders = new ArrayList<>();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Map<String, String>> receivedHeaders = new CopyOnWriteArrayList<>();
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
    private final AtomicBoolean crashing = new AtomicBoolean();
    private volatile String id;
    private volatile String crashingPart = "";

    /** What the stated load ends with: a comma and the pace, or nothing. */
    private volatile String statedPace = "";

    private volatile Duration downTime = Duration.ZERO;
    private volatile int breakAfterEvents = Integer.MAX_VALUE;
    private volatile boolean unresponsive;
    private volatile boolean rejecting;
    private volatile boolean announcingLeave;
    private volatile long pausedUntilNanos = System.nanoTime();
    private long startMillis = System.currentTimeMillis();
    private long orderCount;
    private int reservationCount;

    /** How often the server has written its entry in its present run. */
    private int entryWrites;

    private int starts = 1;
    private boolean closed;
    private boolean busy;
    private boolean leaving;

    /**
     * A request that reached the server, whether the server ran it or not.
     *
     * @param requestId id of the request
     * @param nanos time of arrival, as {@link System#nanoTime()}
     */
    public record Arrival(String requestId, long nanos) {}

    /**
     * Creates the stand-in, listens on loopback and registers in the store.
     *
     * @param ioExecutor runs the connections
     * @param store the store to register in
     * @param id the server's id
     * @param service the service that the server belongs to
     * @param initialModels models that are loaded at the start
     */
    public PlatformServerStandIn(
            IoExecutor ioExecutor,
            PlatformStoreStandIn store,
            String id,
            String service,
            String... initialModels) {
        this.store = store;
        this.name = id;
        this.id = id;
        this.service = service;
        for (String model : initialModels) {
            models.put(model, new TreeSet<>());
        }
        this.server = new StandInServer(ioExecutor, this::handle).start();
        register();
    }

    /** Makes each stream lose its connection after the given number of events. */
    public void breakStreamsAfter(int events) {
        breakAfterEvents = events;
    }

    /** Sets whether the server runs requests without answering them. */
    public void setUnresponsive(boolean newUnresponsive) {
        unresponsive = newUnresponsive;
    }

    /** Sets whether the server rejects requests without running them. */
    public void setRejecting(boolean newRejecting) {
        rejecting = newRejecting;
    }

    /** Sets whether all answers say that the server leaves; its entry in the store stays. */
    public void setAnnouncingLeave(boolean newAnnouncingLeave) {
        announcingLeave = newAnnouncingLeave;
    }

    /**
     * Sets the pace that all answers state with the load.
     *
     * @param pace text of the pace, usually a number in percent; empty to state none
     */
    public void setStatedPace(String pace) {
        statedPace = pace.isEmpty() ? "" : "," + pace;
    }

    /** Makes the server reject requests for some time, and say with each rejection for how long. */
    public void pauseFor(Duration pause) {
        pausedUntilNanos = System.nanoTime() + pause.toNanos();
    }

    /**
     * Makes the server crash when it begins to answer a request whose prompt contains the part. It
     * starts again without models, under a new id and at the same address.
     *
     * @param part id of the part; empty for none
     * @param newDownTime time from the crash to the next start
     */
    public void crashOnPromptPart(String part, Duration newDownTime) {
        downTime = newDownTime;
        crashingPart = part;
    }

    /** Returns the times of the crashes, as {@link System#nanoTime()}. */
    public List<Long> crashNanos() {
        return List.copyOf(crashNanos);
    }

    /** Returns the headers of everything that reached the server, with names in lower case. */
    public List<Map<String, String>> receivedHeaders() {
        return List.copyOf(receivedHeaders);
    }

    /** Returns all requests that reached the server, in the order of their arrival. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Changes the server's entry in the store to the state of a leaving server. */
    public synchronized void leave() {
        leaving = true;
        register();
    }

    /** Writes the server's entry again, as it does in each report interval. */
    public synchronized void renewEntry() {
        register();
    }

    /** Starts the server again under the id that it has; what it said before no longer holds. */
    public synchronized void restart() {
        startMillis = Math.max(System.currentTimeMillis(), startMillis + 1);
        entryWrites = 0;
        leaving = false;
        register();
    }

    /** Removes the server's entry from the store. The server goes on serving. */
    public void removeEntry() {
        store.remove("servers", id);
    }

    /** Returns the number of runs of each request, by request id. */
    public Map<String, Integer> runsByRequestId() {
        return Map.copyOf(runsByRequestId);
    }

    /** Returns the accepted orders as {@code op model} or {@code op model/adapter}. */
    public synchronized List<String> acceptedOrders() {
        return List.copyOf(acceptedOrders);
    }

    private synchronized void register() {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + server.address().getPort());
        entry.put("zone", "home");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", leaving ? "draining" : "ready");
        entryWrites++;
        entry.put("seq", entryWrites);
        entry.put("born", startMillis);
        entry.set("models", modelList());
        ObjectNode available = entry.putObject("available");
        available.putArray("in_memory");
        available.putArray("on_disk");
        store.put("servers", id, entry);
    }

    private ArrayNode modelList() {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        models.forEach(
                (name, adapters) -> {
                    ArrayNode names = list.addObject().put("name", name).putArray("adapters");
                    adapters.forEach(names::add);
                });
        return list;
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        receivedHeaders.add(Map.copyOf(request.headers()));
        if (request.path().equals(List.of("tarragonlug", "report"))) {
            return done(report());
        }
        if (request.path().equals(List.of("tarragonlug", "order"))) {
            return done(handleOrder(JsonFields.parse(request.body())));
        }
        if (request.path().size() > 1 && request.path().get(1).startsWith("hold-")) {
            return done(handleReservation(request));
        }
        return handleRequest(request);
    }

    private synchronized StandInReply handleReservation(StandInRequest request) {
        if (!request.path().get(1).equals("hold-take")) {
            return StandInReply.empty(200);
        }
        if (rejecting || unresponsive) {
            return StandInReply.empty(503);
        }
        reservationCount++;
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("hold", "slot-" + reservationCount);
        return StandInReply.json(200, body);
    }

    private static CompletionStage<StandInReply> done(StandInReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private synchronized StandInReply report() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("models", modelList());
        body.put("busy", busy);
        body.put("seq", orderCount);
        return StandInReply.json(200, body);
    }

    private synchronized StandInReply handleOrder(JsonNode body) {
        if (busy || body.path("precondition").asLong(orderCount) != orderCount) {
            return StandInReply.empty(409);
        }
        String model = body.path("model").asText();
        String adapter = body.path("adapter").asText("");
        boolean load = body.path("op").asText().equals("model_load");
        orderCount++;
        acceptedOrders.add(
                body.path("op").asText() + " " + model + (adapter.isEmpty() ? "" : "/") + adapter);
        if (!adapter.isEmpty()) {
            Set<String> adapters = models.get(model);
            if (load) {
                adapters.add(adapter);
            } else {
                adapters.remove(adapter);
            }
            return StandInReply.empty(load ? 202 : 200);
        }
        busy = true;
        CompletableFuture.delayedExecutor(LOAD_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> completeOrder(load, model));
        return StandInReply.empty(202);
    }

    private synchronized void completeOrder(boolean load, String model) {
        busy = false;
        if (load) {
            models.put(model, new TreeSet<>());
        } else {
            models.remove(model);
        }
        register();
    }

    private CompletionStage<StandInReply> handleRequest(StandInRequest request) {
        Map<String, String> headers = new HashMap<>();
        String requestId = request.headers().getOrDefault("tarragonlug-request-id", "");
        arrivals.add(new Arrival(requestId, System.nanoTime()));
        headers.put("tarragonlug-request-id", requestId);
        headers.put("tarragonlug-server-load", "1,0,8" + statedPace);
        String expected = request.headers().getOrDefault("tarragonlug-expect-instance", id);
        String model = request.headers().get("tarragonlug-model");
        if (!expected.equals(id) || !holds(model)) {
            headers.put("tarragonlug-instance-id", id);
            return done(StandInReply.bytes(421, headers, new byte[0]));
        }
        if (announcingLeave) {
            headers.put("server-leaving", "1");
        }
        long pauseNanos = pausedUntilNanos - System.nanoTime();
        if (pauseNanos > 0) {
            headers.put("retry-after", Double.toString(pauseNanos / NANOS_PER_SECOND));
        }
        if (rejecting || pauseNanos > 0) {
            headers.put("tarragonlug-not-executed", "1");
            return done(StandInReply.bytes(503, headers, new byte[0]));
        }
        runsByRequestId.merge(requestId, 1, Integer::sum);
        if (unresponsive) {
            return new CompletableFuture<>();
        }
        headers.put("tarragonlug-response-seal", "seal-of-" + id);
        if (model == null) {
            return done(StandInReply.bytes(200, headers, request.body()));
        }
        headers.put("content-type", "text/event-stream");
        if (hasCrashingPart(request)) {
            return done(new StandInReply(200, headers, crash()));
        }
        int lastEventId = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        return done(new StandInReply(200, headers, events(lastEventId, request)));
    }

    private boolean hasCrashingPart(StandInRequest request) {
        if (crashingPart.isEmpty()) {
            return false;
        }
        String parts = request.headers().getOrDefault("tarragonlug-prompt-prefix", "");
        return Arrays.stream(parts.split(","))
                .anyMatch(part -> part.trim().startsWith(crashingPart + ":"));
    }

    /** Returns a body without content, and ends the server once the head is on its way. */
    private Publisher<byte[]> crash() {
        if (crashing.compareAndSet(false, true)) {
            CompletableFuture.delayedExecutor(EVENT_PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(this::goDown);
        }
        return Publisher.never();
    }

    private void goDown() {
        crashNanos.add(System.nanoTime());
        server.stop();
        CompletableFuture.delayedExecutor(downTime.toMillis(), TimeUnit.MILLISECONDS)
                .execute(this::startAgain);
    }

    private synchronized void startAgain() {
        if (closed) {
            return;
        }
        store.remove("servers", id);
        starts++;
        id = name + "-" + starts;
        startMillis = System.currentTimeMillis();
        entryWrites = 0;
        orderCount = 0;
        busy = false;
        models.clear();
        server.start();
        crashing.set(false);
        register();
    }

    private synchronized boolean holds(String model) {
        if (model == null) {
            return true;
        }
        int slash = model.indexOf('/');
        Set<String> adapters = models.get(slash < 0 ? model : model.substring(0, slash));
        return adapters != null && (slash < 0 || adapters.contains(model.substring(slash + 1)));
    }

    private Publisher<byte[]> events(int lastEventId, StandInRequest request) {
        Publisher<byte[]> events = Publisher.empty();
        for (int number = lastEventId + 1; number <= EVENTS_PER_STREAM; number++) {
            if (number - lastEventId > breakAfterEvents) {
                return events.concat(
                        Publisher.defer(
                                () -> {
                                    request.closeConnection().run();
                                    return Publisher.never();
                                }));
            }
            byte[] event =
                    ("id: " + number + "\ndata: part " + number + "\n\n")
                            .getBytes(StandardCharsets.UTF_8);
            events = events.concat(delayed(event));
        }
        return events;
    }

    private static Publisher<byte[]> delayed(byte[] event) {
        return io.servicetalk.concurrent.api.Single.fromStage(
                        new CompletableFuture<byte[]>()
                                .completeOnTimeout(
                                        event, EVENT_PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                .toPublisher();
    }

    @Override
    public synchronized void close() {
        closed = true;
        server.close();
    }
}
