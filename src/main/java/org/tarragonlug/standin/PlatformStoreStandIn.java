package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.tarragonlug.http.JsonFields;

/**
 * Stand-in for the platform's metadata store, with revisions, conditional writes, paged lists and
 * long-polling watches. Tests can inject faults.
 *
 * <p>It can return from an older copy of itself ({@link #copy}, {@link #returnFrom}): what was
 * written since the copy is lost, revisions are given out again, and the era in the answers rises.
 */
public final class PlatformStoreStandIn implements AutoCloseable {
    /** Objects of a page; so few that lists of tests have several pages. */
    private static final int SMALL_PAGE = 3;

    private static final String ERA_HEADER = "Store-Era";

    /** The contents of the store at a moment. */
    public static final class Copy {
        private final Map<String, TreeMap<String, ObjectNode>> objects = new TreeMap<>();
        private final List<Change> history;
        private final long revision;
        private final long discardedRevision;

        private Copy(PlatformStoreStandIn store) {
            // Stored objects are replaced, never changed, so they need not be copied.
            store.objects.forEach((kind, named) -> objects.put(kind, new TreeMap<>(named)));
            history = List.copyOf(store.history);
            revision = store.revision;
            discardedRevision = store.discardedRevision;
        }
    }

    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    private record Watch(
            String kind,
            long after,
            CompletableFuture<StandInReply> answer,
            Runnable connectionCloser) {}

    private final IoExecutor ioExecutor;
    private final StandInServer server;
    private final int pageSize;
    private final Map<String, TreeMap<String, ObjectNode>> objects = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();

    /** The contents that {@link #putBytes} has written, by the text that stands for them. */
    private final Map<String, String> foreignContents = new LinkedHashMap<>();

    private long revision = 1;

    /** The era stated in all answers; zero states none. */
    private long era;

    /** Whether connections are closed instead of answering calls. */
    private boolean away;

    /** Listens at a second address; null until that address is asked for. */
    private StandInServer secondServer;

    /** Whether calls to the second address are answered with status 503. */
    private boolean rejecting;

    private long discardedRevision;
    private int callCount;
    private int forcedStatus;
    private boolean losesAnswersToWrites;
    private Duration delay = Duration.ZERO;

    /** Ends when the store no longer stands still; it has ended if the store does not. */
    private CompletableFuture<Void> standstill = CompletableFuture.completedFuture(null);

    /**
     * Creates the stand-in and listens on loopback.
     *
     * @param ioExecutor runs the connections
     */
    public PlatformStoreStandIn(IoExecutor ioExecutor) {
        this(ioExecutor, SMALL_PAGE);
    }

    /**
     * Creates the stand-in and listens on loopback.
     *
     * @param ioExecutor runs the connections
     * @param pageSize number of objects that one answer to a list holds
     */
    public PlatformStoreStandIn(IoExecutor ioExecutor, int pageSize) {
        this.ioExecutor = ioExecutor;
        this.pageSize = pageSize;
        this.server = new StandInServer(ioExecutor, this::handle).start();
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns a second address of the same store, whose calls it can reject. Blocks at the first
     * call, so it must not be called on an I/O thread.
     */
    public synchronized InetSocketAddress rejectableAddress() {
        if (secondServer == null) {
            secondServer = new StandInServer(ioExecutor, this::handleOrReject).start();
        }
        return secondServer.address();
    }

    /**
     * Sets whether calls to the second address are rejected with status 503. Ends all waiting
     * watches when that begins.
     */
    public synchronized void setRejecting(boolean rejects) {
        rejecting = rejects;
        if (rejecting) {
            cutWatches();
        }
    }

    private CompletionStage<StandInReply> handleOrReject(StandInRequest request) {
        synchronized (this) {
            if (rejecting) {
                return done(StandInReply.empty(503));
            }
        }
        return handle(request);
    }

    /** Returns the contents of the objects of a kind by their names. */
    public synchronized Map<String, JsonNode> contents(String kind) {
        Map<String, JsonNode> contents = new TreeMap<>();
        objectsOfKind(kind).forEach((name, object) -> contents.put(name, object.path("spec")));
        return contents;
    }

    /**
     * Answers every call with a status and ends the waiting watches. Zero restores normal answers.
     */
    public synchronized void answerAllCallsWith(int status) {
        forcedStatus = status;
        if (status != 0) {
            endWatches();
        }
    }

    /** States an era in all answers from now on. */
    public synchronized void stateEra(long stated) {
        era = stated;
    }

    /** Returns a copy from which the store can return later. */
    public synchronized Copy copy() {
        return new Copy(this);
    }

    /** Sets whether the store is away: it closes all connections without an answer. */
    public synchronized void setAway(boolean isAway) {
        away = isAway;
        if (away) {
            cutWatches();
        }
    }

    /**
     * Returns with the contents of an older copy, in the next era, and ends the waiting watches.
     */
    public synchronized void returnFrom(Copy copy) {
        cutWatches();
        replaceContents(copy);
    }

    /**
     * Returns like {@link #returnFrom}, but closes no connection: a waiting watch goes on if its
     * revision exists in the copy, and is answered with status 410 otherwise.
     */
    public synchronized void returnBehindWatches(Copy copy) {
        replaceContents(copy);
        Iterator<Watch> iterator = watches.iterator();
        while (iterator.hasNext()) {
            Watch watch = iterator.next();
            if (watch.after() > revision) {
                iterator.remove();
                watch.answer().complete(StandInReply.empty(410));
            }
        }
    }

    private void replaceContents(Copy copy) {
        objects.clear();
        copy.objects.forEach((kind, named) -> objects.put(kind, new TreeMap<>(named)));
        history.clear();
        history.addAll(copy.history);
        revision = copy.revision;
        discardedRevision = copy.discardedRevision;
        era++;
        away = false;
    }

    /** Sets whether writes take effect without being answered. */
    public synchronized void loseAnswersToWrites(boolean loses) {
        losesAnswersToWrites = loses;
    }

    /** Sets the time by which all answers are late; each call takes effect at once. */
    public synchronized void delayAnswers(Duration time) {
        delay = time;
    }

    /**
     * Sets whether the store stands still: calls neither take effect nor are answered. Those that
     * it has received meanwhile take effect when it goes on.
     */
    public void setStandingStill(boolean standing) {
        CompletableFuture<Void> ended;
        synchronized (this) {
            if (standing == !standstill.isDone()) {
                return;
            }
            ended = standstill;
            standstill = new CompletableFuture<>();
            if (!standing) {
                standstill.complete(null);
            }
        }
        ended.complete(null);
    }

    /** Closes the connections of all waiting watches. */
    public synchronized void cutWatches() {
        watches.forEach(watch -> watch.connectionCloser().run());
        watches.clear();
    }

    /** Stops answering on all open connections; new connections work. */
    public void silenceOpenConnections() {
        server.silenceOpenConnections();
    }

    /** Discards the change history and ends the waiting watches with status 410. */
    public synchronized void discardHistory() {
        discardedRevision = revision;
        history.clear();
        endWatches();
    }

    private void endWatches() {
        watches.forEach(watch -> watch.answer().complete(StandInReply.empty(410)));
        watches.clear();
    }

    /** Returns the number of calls received so far, including those answered with an error. */
    public synchronized int callCount() {
        return callCount;
    }

    /** Returns the number of connections on which calls have arrived so far. */
    public int usedConnections() {
        return server.usedConnections();
    }

    /** Writes an object unconditionally, as an operator or a server does. */
    public synchronized void put(String kind, String name, JsonNode spec) {
        storeObject(kind, name, spec);
    }

    /** Returns the content of an object; a missing node if it does not exist. */
    public synchronized JsonNode content(String kind, String name) {
        ObjectNode object = objectsOfKind(kind).get(name);
        return object == null ? MissingNode.getInstance() : object.path("spec");
    }

    /**
     * Writes an object whose content is any bytes, as another writer may. They are returned as they
     * are in the place of the content, and may be no JSON.
     */
    public synchronized void putBytes(String kind, String name, byte[] content) {
        String placeholder = "content-" + foreignContents.size() + "-of-another-writer";
        foreignContents.put(placeholder, new String(content, StandardCharsets.ISO_8859_1));
        storeObject(kind, name, JsonNodeFactory.instance.textNode(placeholder));
    }

    private StandInReply reply(int status, JsonNode body) {
        if (foreignContents.isEmpty()) {
            return StandInReply.json(status, body);
        }
        String text = new String(JsonFields.bytes(body), StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> each : foreignContents.entrySet()) {
            text = text.replace("\"" + each.getKey() + "\"", each.getValue());
        }
        return StandInReply.bytes(
                status,
                Map.of("content-type", "application/json"),
                text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Removes an object; does nothing if it does not exist. */
    public synchronized void remove(String kind, String name) {
        ObjectNode removed = objectsOfKind(kind).remove(name);
        if (removed != null) {
            revision++;
            recordChange(new Change(revision, kind, removed, true));
        }
    }

    private TreeMap<String, ObjectNode> objectsOfKind(String kind) {
        return objects.computeIfAbsent(kind, each -> new TreeMap<>());
    }

    private ObjectNode storeObject(String kind, String name, JsonNode spec) {
        revision++;
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.putObject("metadata")
                .put("name", name)
                .put("revision", revision)
                .put("deleting", false);
        object.set("spec", spec);
        objectsOfKind(kind).put(name, object);
        recordChange(new Change(revision, kind, object, false));
        return object;
    }

    private void recordChange(Change change) {
        history.add(change);
        Iterator<Watch> iterator = watches.iterator();
        while (iterator.hasNext()) {
            Watch watch = iterator.next();
            if (watch.kind().equals(change.kind())) {
                iterator.remove();
                watch.answer().complete(events(watch.kind(), watch.after()));
            }
        }
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        CompletableFuture<Void> begin;
        long delayMillis;
        synchronized (this) {
            begin = standstill;
            delayMillis = delay.toMillis();
        }
        CompletionStage<StandInReply> reply = begin.thenCompose(ended -> execute(request));
        return delayMillis == 0
                ? reply
                : reply.thenApplyAsync(
                        Function.identity(),
                        CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS));
    }

    private synchronized CompletionStage<StandInReply> execute(StandInRequest request) {
        callCount++;
        if (away) {
            request.closeConnection().run();
            return new CompletableFuture<>();
        }
        CompletionStage<StandInReply> reply = answer(request);
        if (era == 0) {
            return reply;
        }
        // A waiting watch may be answered in a later era than the one in which it arrived.
        return reply.thenApply(each -> each.withHeader(ERA_HEADER, statedEra()));
    }

    private synchronized String statedEra() {
        return Long.toString(era);
    }

    private CompletionStage<StandInReply> answer(StandInRequest request) {
        if (forcedStatus != 0) {
            return done(StandInReply.empty(forcedStatus));
        }
        String kind = request.path().get(2);
        boolean named = request.path().size() > 3;
        return switch (request.method()) {
            case "GET" ->
                    named ? done(read(kind, request.path().get(3))) : listOrWatch(kind, request);
            case "POST" -> write(create(kind, JsonFields.parse(request.body())));
            case "PUT" ->
                    write(replace(kind, request.path().get(3), JsonFields.parse(request.body())));
            default -> done(StandInReply.empty(405));
        };
    }

    private static CompletionStage<StandInReply> done(StandInReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private CompletionStage<StandInReply> write(StandInReply reply) {
        return losesAnswersToWrites ? new CompletableFuture<>() : done(reply);
    }

    private StandInReply read(String kind, String name) {
        ObjectNode object = objectsOfKind(kind).get(name);
        return object == null ? StandInReply.empty(404) : reply(200, object);
    }

    private StandInReply create(String kind, JsonNode body) {
        String name = body.path("metadata").path("name").asText();
        ObjectNode present = objectsOfKind(kind).get(name);
        return present != null
                ? reply(409, present)
                : reply(201, storeObject(kind, name, body.path("spec")));
    }

    private StandInReply replace(String kind, String name, JsonNode body) {
        ObjectNode present = objectsOfKind(kind).get(name);
        if (present == null) {
            return StandInReply.empty(404);
        }
        long expected = body.path("metadata").path("revision").asLong(-1);
        if (expected >= 0 && expected != present.path("metadata").path("revision").asLong()) {
            return reply(409, present);
        }
        return reply(200, storeObject(kind, name, body.path("spec")));
    }

    private CompletionStage<StandInReply> listOrWatch(String kind, StandInRequest request) {
        if (!request.query().containsKey("watch")) {
            return done(page(kind, request.query().getOrDefault("after", "")));
        }
        long after = Long.parseLong(request.query().get("watch"));
        boolean unknown = era > 0 && after > revision;
        if (after < discardedRevision || unknown) {
            return done(StandInReply.empty(410));
        }
        boolean changed =
                history.stream()
                        .anyMatch(
                                change -> change.kind().equals(kind) && change.revision() > after);
        if (changed) {
            return done(events(kind, after));
        }
        Watch watch = new Watch(kind, after, new CompletableFuture<>(), request.closeConnection());
        watches.add(watch);
        long waitMillis = Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
        return watch.answer()
                .completeOnTimeout(
                        reply(200, events(List.of(), after)), waitMillis, TimeUnit.MILLISECONDS);
    }

    private StandInReply page(String kind, String after) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode items = body.putArray("items");
        for (ObjectNode object : objectsOfKind(kind).tailMap(after, false).values()) {
            if (items.size() < pageSize) {
                items.add(object);
            }
        }
        body.put("has_more", objectsOfKind(kind).tailMap(after, false).size() > pageSize);
        body.put("as_of", revision);
        return reply(200, body);
    }

    private StandInReply events(String kind, long after) {
        List<Change> changes =
                history.stream()
                        .filter(change -> change.kind().equals(kind) && change.revision() > after)
                        .toList();
        return reply(200, events(changes, revision));
    }

    private static ObjectNode events(List<Change> changes, long asOf) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode events = body.putArray("events");
        for (Change change : changes) {
            ObjectNode event = events.addObject();
            event.put("deleted", change.deleted());
            event.set("object", change.object());
        }
        body.put("as_of", asOf);
        return body;
    }

    @Override
    public void close() {
        if (secondServer != null) {
            secondServer.close();
        }
        server.close();
    }
}
