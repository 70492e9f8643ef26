package org.tarragonlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionGroup;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoreRefusal;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.Json;

/**
 * Implements the object API with the platform's metadata store.
 *
 * <p>The content of an object is its {@code spec}; its version is the revision of its last change.
 * A write fails with {@code OBJECT_API_OUTCOME_UNKNOWN} if its answer does not show whether it took
 * effect. Status 503 or 429 means that the store rejected the call before it had any effect. Each
 * write has a connection of its own, because a refusal names no object. Calls for objects of
 * different kinds share no connections, because the answers to watches and refusals name no kind.
 *
 * <p>Keys of client accounts are replaced by their digests, so that objects may be passed on.
 */
public final class PlatformObjectApi implements ObjectApi {
    private static final String PATH = "/tarragonlug/objects/";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    /** Timeout of a call for one object. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /** Timeout of one page of a list. */
    private static final Duration LIST_TIMEOUT = Duration.ofMillis(1000);

    /** Timeout of the answer to a watch once its wait is over. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(600);

    private final HttpConnections connections;
    private final InetSocketAddress address;
    private final StoreEraHeader eraHeader;

    /**
     * Creates a client of the store.
     *
     * @param connections the HTTP connections of the process
     * @param address address of the store
     * @param onUnreadableEra called with the era of each answer that states one that is no number
     */
    public PlatformObjectApi(
            HttpConnections connections,
            InetSocketAddress address,
            Consumer<String> onUnreadableEra) {
        this.connections = connections;
        this.address = address;
        this.eraHeader = new StoreEraHeader(onUnreadableEra);
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return Answers.read(
                exchange("GET", name.kind(), path(name), null, CALL_TIMEOUT, useOfRead(name)),
                answer -> {
                    if (answer.status() == NOT_FOUND) {
                        return StoredObject.absent(name, eraHeader.read(answer));
                    }
                    requireRead(answer);
                    return requestedObject(name, answer);
                },
                PlatformObjectApi::unavailable);
    }

    /**
     * Returns the connection for a read. The copy of the answer to an earlier read of the same
     * object bears its name as well. Most reads are followed by a conditional write, which shows
     * that they were outdated; keys that a read of the configuration does not show are refused.
     */
    private static ConnectionUse useOfRead(ObjectName name) {
        return name.equals(PlatformKinds.currentConfiguration())
                ? ConnectionUse.NEW
                : ConnectionUse.POOLED;
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        boolean create = expectedVersion == StoredObject.ABSENT;
        ObjectNode body = Json.object();
        ObjectNode metadata = body.putObject("metadata");
        metadata.put("name", name.name());
        if (!create) {
            metadata.put("revision", expectedVersion);
        }
        body.set("spec", content);
        String path = create ? PATH + JsonFields.pathSegment(name.kind()) : path(name);
        return Answers.read(
                exchange(create ? "POST" : "PUT", name.kind(), path, body, CALL_TIMEOUT),
                answer -> {
                    requireWritten(name, answer);
                    return requestedObject(name, answer).position();
                },
                PlatformObjectApi::writeFailure);
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        String path = path(name) + "?revision=" + expectedVersion;
        return Answers.read(
                exchange("DELETE", name.kind(), path, null, CALL_TIMEOUT),
                answer -> {
                    if (answer.status() != NOT_FOUND) {
                        requireWritten(name, answer);
                    }
                    return null;
                },
                PlatformObjectApi::writeFailure);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return listPage(kind, "", new ArrayList<>(), Optional.empty());
    }

    /**
     * Reads one page of a list and then the following pages. A later watch starts at the position
     * of the first page, so it includes changes that occur while the other pages are read. All
     * pages must be of the same era, because a list of two copies of the store shows neither.
     *
     * <p>A list opens a new connection. It mostly follows a failure, after which kept connections
     * may be silent as well, and a list that fails then shows that the store itself is out of
     * reach.
     */
    private CompletionStage<WatchResult> listPage(
            String kind, String after, List<StoredObject> found, Optional<StorePosition> first) {
        String path = PATH + JsonFields.pathSegment(kind);
        if (!after.isEmpty()) {
            path += "?after=" + JsonFields.pathSegment(after);
        }
        return Answers.read(
                        exchange("GET", kind, path, null, LIST_TIMEOUT, ConnectionUse.NEW),
                        answer -> {
                            requireRead(answer);
                            return page(answer, first);
                        },
                        PlatformObjectApi::unavailable)
                .thenCompose(page -> nextPage(kind, page, found, first.orElse(page.position())));
    }

    /** One page of a list. */
    private record Page(StorePosition position, JsonNode body) {}

    /**
     * Reads a page of a list.
     *
     * @param first position of the first page; empty if this is the first one
     * @throws IllegalArgumentException if the page states another era than the first one
     */
    private Page page(HttpAnswer answer, Optional<StorePosition> first) {
        StoreEra era = eraHeader.read(answer);
        if (first.isPresent() && era.isStated() && !first.get().era().equals(era)) {
            throw new IllegalArgumentException(
                    "the pages of the list are of the eras " + first.get().era() + " and " + era);
        }
        JsonNode body = bodyWithout("events", answer);
        return new Page(new StorePosition(era, body.path("as_of").asLong()), body);
    }

    private CompletionStage<WatchResult> nextPage(
            String kind, Page page, List<StoredObject> found, StorePosition first) {
        for (JsonNode item : page.body().path("items")) {
            addReadable(found, kind, first.era(), item, false);
        }
        if (page.body().path("has_more").asBoolean() && !found.isEmpty()) {
            String last = found.get(found.size() - 1).name().name();
            return listPage(kind, last, found, Optional.of(first));
        }
        return CompletableFuture.completedFuture(new WatchResult(found, first, false));
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        String path =
                PATH
                        + JsonFields.pathSegment(kind)
                        + "?watch="
                        + after.revision()
                        + "&wait_ms="
                        + longestWait.toMillis();
        return Answers.read(
                exchange("GET", kind, path, null, longestWait.plus(ANSWER_TIMEOUT)),
                answer -> {
                    StoreEra era = eraHeader.read(answer);
                    if (answer.status() == GONE) {
                        return gap(era, after);
                    }
                    requireRead(answer);
                    return era.equals(after.era()) || !era.isStated()
                            ? changes(kind, bodyWithout("items", answer), after)
                            : gap(era, after);
                },
                PlatformObjectApi::unavailable);
    }

    /**
     * Returns that changes may be missing: the history is gone, or the answer counts the changes
     * from the revision of another era.
     */
    private static WatchResult gap(StoreEra era, StorePosition after) {
        return new WatchResult(List.of(), new StorePosition(era, after.revision()), true);
    }

    /**
     * Reads the changes of the answer to a watch.
     *
     * @throws IllegalArgumentException if it ends before the watch begins, so that it belongs to an
     *     earlier watch
     */
    private static WatchResult changes(String kind, JsonNode body, StorePosition after) {
        if (body.has("as_of") && body.path("as_of").asLong() < after.revision()) {
            throw new IllegalArgumentException(
                    "the answer ends at " + body.path("as_of") + ", before " + after);
        }
        List<StoredObject> changed = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
            boolean deleted = event.path("deleted").asBoolean();
            addReadable(changed, kind, after.era(), event.path("object"), deleted);
        }
        long revision = Math.max(after.revision(), body.path("as_of").asLong());
        return new WatchResult(changed, new StorePosition(after.era(), revision), false);
    }

    /** Adds an object. An object without a readable name is skipped. */
    private static void addReadable(
            List<StoredObject> objects, String kind, StoreEra era, JsonNode node, boolean deleted) {
        JsonNode metadata = node.path("metadata");
        if (!metadata.path("name").isTextual() || metadata.path("name").textValue().isEmpty()) {
            return;
        }
        StoredObject object = object(kind, era, node);
        boolean removed = deleted || metadata.path("deleting").asBoolean(false);
        objects.add(
                removed
                        ? new StoredObject(
                                object.name(),
                                new StorePosition(era, StoredObject.ABSENT),
                                object.content())
                        : object);
    }

    /**
     * Reads the object of an answer.
     *
     * @throws IllegalArgumentException if it is not the object with the name, so that the answer
     *     belongs to another call
     */
    private StoredObject requestedObject(ObjectName name, HttpAnswer answer) {
        StoreEra era = eraHeader.read(answer);
        StoredObject found = object(name.kind(), era, JsonFields.parseForeign(answer.body()));
        if (!found.name().equals(name)) {
            throw new IllegalArgumentException(
                    "the answer contains object " + found.name() + " instead of " + name);
        }
        return found;
    }

    /**
     * Reads the body of the answer to a list or a watch.
     *
     * @throws IllegalArgumentException if it has a field that only answers to other calls have
     */
    private static JsonNode bodyWithout(String otherField, HttpAnswer answer) {
        JsonNode body = JsonFields.parseForeign(answer.body());
        if (body.has(otherField)) {
            throw new IllegalArgumentException("the answer has the field " + otherField);
        }
        return body;
    }

    private static StoredObject object(String kind, StoreEra era, JsonNode node) {
        JsonNode metadata = node.path("metadata");
        ObjectName name = new ObjectName(kind, metadata.path("name").asText());
        long version = Math.max(1, metadata.path("revision").asLong());
        StorePosition position = new StorePosition(era, version);
        return AccountKeys.withoutKeys(new StoredObject(name, position, node.path("spec")));
    }

    private CompletionStage<HttpAnswer> exchange(
            String method, String kind, String path, JsonNode body, Duration timeout) {
        return exchange(method, kind, path, body, timeout, ConnectionUse.ofUnnamedCall(method));
    }

    private CompletionStage<HttpAnswer> exchange(
            String method,
            String kind,
            String path,
            JsonNode body,
            Duration timeout,
            ConnectionUse use) {
        byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
        Map<String, String> headers =
                body == null ? Map.of() : Map.of("content-type", "application/json");
        return connections.exchange(
                address,
                new HttpCall(
                        method,
                        path,
                        headers,
                        HttpBody.of(bytes),
                        timeout,
                        use,
                        Optional.empty(),
                        new ConnectionGroup(kind)));
    }

    private static String path(ObjectName name) {
        return PATH
                + JsonFields.pathSegment(name.kind())
                + "/"
                + JsonFields.pathSegment(name.name());
    }

    private void requireRead(HttpAnswer answer) throws TarragonlugException {
        if (answer.status() != OK) {
            String detail = "status " + answer.status() + " from the store";
            throw new StoreRefusal(
                    ErrorCode.OBJECT_API_UNAVAILABLE, detail, eraHeader.read(answer));
        }
    }

    private void requireWritten(ObjectName name, HttpAnswer answer) throws TarragonlugException {
        switch (answer.status()) {
            case OK, CREATED -> {
                return;
            }
            case CONFLICT, NOT_FOUND -> throw error(ErrorCode.WRITE_CONFLICT, name, answer);
            case UNAVAILABLE, TOO_MANY ->
                    throw error(ErrorCode.OBJECT_API_UNAVAILABLE, name, answer);
            default -> throw error(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, name, answer);
        }
    }

    private StoreRefusal error(ErrorCode code, ObjectName name, HttpAnswer answer) {
        String detail = name + ": status " + answer.status() + " from the store";
        return new StoreRefusal(code, detail, eraHeader.read(answer));
    }

    private static TarragonlugException unavailable(HttpFailure failure) {
        return new TarragonlugException(
                ErrorCode.OBJECT_API_UNAVAILABLE, failure.getMessage(), failure);
    }

    private static TarragonlugException writeFailure(HttpFailure failure) {
        ErrorCode code =
                failure.notSent()
                        ? ErrorCode.OBJECT_API_UNAVAILABLE
                        : ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
        return new TarragonlugException(code, failure.getMessage(), failure);
    }
}
