package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.objectapi.HttpObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;

/** In-memory stand-in for the object API. Its methods also inject failures. */
public final class ObjectApiStandIn implements AutoCloseable {
    private static final String IF_MATCH = "if-match";
    private static final String IF_NONE_MATCH = "if-none-match";

    private final StandInClock clock;
    private final StandInServer server;
    private final ObjectStore store = new ObjectStore();
    private final List<Watch> watches = new ArrayList<>();
    private OutageKind outage = OutageKind.NONE;
    private Duration delay = Duration.ZERO;
    private int writeAnswersToLose;
    private boolean staleReads;
    private long readCount;
    private long writeCount;
    private long watchCount;
    private long conflictCount;

    /** Starts the stand-in with an empty store. */
    public ObjectApiStandIn(IoExecutor ioExecutor, StandInClock clock) {
        this.clock = clock;
        this.server = new StandInServer(ioExecutor, this::handle).start();
    }

    /** Returns the listening address; it stays the same after a stop and start. */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Starts an outage, or ends it with {@link OutageKind#NONE}. Changes do not complete waiting
     * watches during an outage; a watch whose wait ends during an outage is answered with 503.
     */
    public synchronized void setOutage(OutageKind kind) {
        outage = kind;
    }

    /** Sets the delay of each answer, in real time. */
    public synchronized void setDelay(Duration newDelay) {
        delay = newDelay;
    }

    /** Closes the connections of the given number of next writes after they took effect. */
    public synchronized void loseAnswersOfNextWrites(int count) {
        writeAnswersToLose = count;
    }

    /** Sets whether reads return the content from before the last change of the object. */
    public synchronized void setStaleReads(boolean stale) {
        staleReads = stale;
    }

    /** Discards the change history, so that watches from earlier revisions end with a gap. */
    public synchronized void discardChanges() {
        store.discardChanges();
    }

    /** Closes the listening socket and all connections; the objects stay. */
    public void stopListening() {
        server.stop();
    }

    /** Listens again at the same address. */
    public void startListening() {
        server.start();
    }

    /** Stops answering on all open connections; new connections work. */
    public void silenceOpenConnections() {
        server.silenceOpenConnections();
    }

    /** Returns the numbers of calls so far. */
    public synchronized ObjectApiCounts counts() {
        return new ObjectApiCounts(readCount, writeCount, watchCount, conflictCount);
    }

    /** Returns the present state of an object without counting a call. */
    public synchronized StoredObject peek(ObjectName name) {
        return store.read(name);
    }

    /** Returns the present objects of a kind without counting a call. */
    public synchronized List<StoredObject> peekAll(String kind) {
        return store.list(kind);
    }

    /** Writes an object regardless of its version and without counting a call. */
    public void put(ObjectName name, JsonNode content) {
        synchronized (this) {
            store.write(name, content, store.read(name).version());
        }
        completeChangedWatches();
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        CompletionStage<StandInReply> reply = dispatch(request);
        completeChangedWatches();
        return reply;
    }

    private synchronized CompletionStage<StandInReply> dispatch(StandInRequest request) {
        countCall(request);
        switch (outage) {
            case REFUSING:
                return CompletableFuture.completedFuture(StandInReply.empty(503));
            case DISCONNECTING:
                request.closeConnection().run();
                return new CompletableFuture<>();
            case SILENT:
                return new CompletableFuture<>();
            default:
                break;
        }
        if (request.matches("GET", "watch", 2)) {
            return watch(request);
        }
        StandInReply reply = handleObjectCall(request);
        boolean write = !request.method().equals("GET");
        if (write && reply.status() < 300 && writeAnswersToLose > 0) {
            writeAnswersToLose--;
            request.closeConnection().run();
            return new CompletableFuture<>();
        }
        return clock.delayed(delay, reply);
    }

    private void countCall(StandInRequest request) {
        if (!request.method().equals("GET")) {
            writeCount++;
        } else if (request.matches("GET", "watch", 2)) {
            watchCount++;
        } else {
            readCount++;
        }
    }

    private StandInReply handleObjectCall(StandInRequest request) {
        List<String> path = request.path();
        if (request.matches("GET", "objects", 2)) {
            return list(path.get(1));
        }
        if (path.size() != 3 || !path.get(0).equals("objects")) {
            return StandInReply.empty(400);
        }
        ObjectName name = new ObjectName(path.get(1), path.get(2));
        switch (request.method()) {
            case "GET":
                return read(name);
            case "PUT":
                return write(name, request);
            case "DELETE":
                return delete(name, request);
            default:
                return StandInReply.empty(405);
        }
    }

    private StandInReply read(ObjectName name) {
        StoredObject object = staleReads ? store.readStale(name) : store.read(name);
        return object.exists() ? StandInReply.json(200, json(object)) : StandInReply.empty(404);
    }

    private StandInReply list(String kind) {
        return StandInReply.json(200, json("objects", store.list(kind)));
    }

    private StandInReply write(ObjectName name, StandInRequest request) {
        if (request.body().length > HttpObjectApi.MAXIMUM_OBJECT_BYTES) {
            return StandInReply.empty(413);
        }
        OptionalLong expected = expectedVersion(request);
        if (expected.isEmpty()) {
            return StandInReply.empty(428);
        }
        JsonNode content;
        try {
            content = JsonFields.parse(request.body());
        } catch (IllegalArgumentException e) {
            return StandInReply.empty(400);
        }
        OptionalLong version = store.write(name, content, expected.getAsLong());
        if (version.isEmpty()) {
            conflictCount++;
            return StandInReply.empty(412);
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return StandInReply.json(200, body.put("version", version.getAsLong()));
    }

    private StandInReply delete(ObjectName name, StandInRequest request) {
        OptionalLong expected = expectedVersion(request);
        if (expected.isEmpty()) {
            return StandInReply.empty(428);
        }
        if (!store.delete(name, expected.getAsLong())) {
            conflictCount++;
            return StandInReply.empty(412);
        }
        return StandInReply.empty(204);
    }

    private static OptionalLong expectedVersion(StandInRequest request) {
        if ("*".equals(request.headers().get(IF_NONE_MATCH))) {
            return OptionalLong.of(StoredObject.ABSENT);
        }
        try {
            return OptionalLong.of(Long.parseLong(request.headers().get(IF_MATCH)));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private CompletionStage<StandInReply> watch(StandInRequest request) {
        long after;
        long waitMillis;
        try {
            after = Long.parseLong(request.query().get("after"));
            waitMillis = Long.parseLong(request.query().get("wait"));
        } catch (NumberFormatException e) {
            return CompletableFuture.completedFuture(StandInReply.empty(400));
        }
        Watch watch = new Watch(request.path().get(1), after, new CompletableFuture<>());
        watches.add(watch);
        clock.afterNanos(waitMillis * 1_000_000, () -> onWatchTimeout(watch));
        return watch.reply;
    }

    private void onWatchTimeout(Watch watch) {
        StandInReply reply;
        synchronized (this) {
            if (!watches.remove(watch)) {
                return;
            }
            reply = outage == OutageKind.NONE ? watchReply(watch) : StandInReply.empty(503);
        }
        watch.reply.complete(reply);
    }

    /**
     * Completes the watches that have changes or a gap to report. The answers are sent after the
     * lock is released.
     */
    private void completeChangedWatches() {
        List<Runnable> answers = new ArrayList<>();
        synchronized (this) {
            if (outage != OutageKind.NONE) {
                return;
            }
            Iterator<Watch> iterator = watches.iterator();
            while (iterator.hasNext()) {
                Watch watch = iterator.next();
                Optional<List<StoredObject>> changed = store.changedAfter(watch.kind, watch.after);
                if (changed.isEmpty() || !changed.get().isEmpty()) {
                    iterator.remove();
                    StandInReply reply = watchReply(watch);
                    answers.add(() -> watch.reply.complete(reply));
                }
            }
        }
        answers.forEach(Runnable::run);
    }

    private StandInReply watchReply(Watch watch) {
        return store.changedAfter(watch.kind, watch.after)
                .map(changed -> StandInReply.json(200, json("changed", changed)))
                .orElseGet(() -> StandInReply.empty(410));
    }

    private ObjectNode json(String field, List<StoredObject> objects) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode list = body.putArray(field);
        objects.forEach(object -> list.add(json(object)));
        return body.put("revision", store.revision());
    }

    private static ObjectNode json(StoredObject object) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("name", object.name().name()).put("version", object.version());
        if (object.exists()) {
            node.set("content", object.content());
        }
        return node;
    }

    @Override
    public void close() {
        server.close();
    }

    private record Watch(String kind, long after, CompletableFuture<StandInReply> reply) {}
}
