package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.StorePosition;

/**
 * An HTTP client of the object API.
 *
 * <p>Objects have the path {@code /objects/KIND/NAME}. An update is conditional on {@code If-Match}
 * with the version, a creation on {@code If-None-Match: *}. Answers to writes name no object, so
 * each write has a connection of its own.
 *
 * <p>A write fails with {@code OBJECT_API_OUTCOME_UNKNOWN} if the answer leaves open whether the
 * write took effect: the connection broke, the call timed out, the server answered 408, a server
 * error other than 503 or an unexpected status below 400, or the body of a successful answer was
 * unreadable. The API documents that 503 and 429 are sent before a write has any effect. After 503,
 * 429 and all other client errors except 408, 409, 412 and 413, a write fails with {@code
 * OBJECT_API_UNAVAILABLE}.
 */
public final class HttpObjectApi implements ObjectApi {
    /** Maximum size of an object, in bytes of JSON text. */
    public static final int MAXIMUM_OBJECT_BYTES = 1_000_000;

    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final HttpConnections connections;
    private final InetSocketAddress address;

    /**
     * Creates a client.
     *
     * @param connections HTTP connections of the process
     * @param address address of the object API
     */
    public HttpObjectApi(HttpConnections connections, InetSocketAddress address) {
        this.connections = connections;
        this.address = address;
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return Answers.read(
                exchange(get(path(name), connections.limits().responseTimeout())),
                answer -> readObject(name, answer),
                HttpObjectApi::unavailable);
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        byte[] body = JsonFields.bytes(content);
        if (body.length > MAXIMUM_OBJECT_BYTES) {
            String detail =
                    name
                            + " has "
                            + body.length
                            + " bytes of JSON; the maximum is "
                            + MAXIMUM_OBJECT_BYTES;
            return CompletableFuture.failedFuture(
                    new TarragonlugException(ErrorCode.OBJECT_TOO_LARGE, detail));
        }
        return Answers.read(
                exchange(conditional("PUT", name, expectedVersion, body)),
                answer -> {
                    requireWritten(name, expectedVersion, answer);
                    long version = JsonFields.count(JsonFields.parse(answer.body()), "version");
                    if (version <= expectedVersion) {
                        throw new IllegalArgumentException(
                                "the answer to the write has version "
                                        + version
                                        + ", which is not above the expected version "
                                        + expectedVersion);
                    }
                    return StorePosition.of(version);
                },
                HttpObjectApi::writeFailure);
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return Answers.read(
                exchange(conditional("DELETE", name, expectedVersion, new byte[0])),
                answer -> {
                    requireWritten(name, expectedVersion, answer);
                    return null;
                },
                HttpObjectApi::writeFailure);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        String target = "/objects/" + JsonFields.pathSegment(kind);
        return Answers.read(
                exchange(get(target, connections.limits().responseTimeout())),
                answer -> {
                    requireRead(answer);
                    return readObjects(kind, answer, "objects");
                },
                HttpObjectApi::unavailable);
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        String target =
                "/watch/"
                        + JsonFields.pathSegment(kind)
                        + "?after="
                        + after.revision()
                        + "&wait="
                        + longestWait.toMillis();
        Duration timeout = longestWait.plus(connections.limits().responseTimeout());
        return Answers.read(
                exchange(get(target, timeout)),
                answer -> {
                    if (answer.status() == GONE) {
                        return new WatchResult(List.of(), after, true);
                    }
                    requireRead(answer);
                    WatchResult result = readObjects(kind, answer, "changed");
                    // A lower revision comes from a stale server. Watching from that revision
                    // would repeat changes, so a gap is reported and the caller lists again.
                    return result.revision() < after.revision()
                            ? new WatchResult(List.of(), after, true)
                            : result;
                },
                HttpObjectApi::unavailable);
    }

    private CompletionStage<HttpAnswer> exchange(HttpCall call) {
        return connections.exchange(address, call);
    }

    private HttpCall get(String target, Duration timeout) {
        return HttpCall.get(target, timeout, ConnectionUse.POOLED);
    }

    private HttpCall conditional(String method, ObjectName name, long expected, byte[] body) {
        Map<String, String> headers =
                expected == StoredObject.ABSENT
                        ? Map.of("if-none-match", "*", "content-type", "application/json")
                        : Map.of(
                                "if-match",
                                Long.toString(expected),
                                "content-type",
                                "application/json");
        Duration timeout = connections.limits().responseTimeout();
        return new HttpCall(
                method, path(name), headers, body, timeout, ConnectionUse.ofUnnamedCall(method));
    }

    private static String path(ObjectName name) {
        return "/objects/"
                + JsonFields.pathSegment(name.kind())
                + "/"
                + JsonFields.pathSegment(name.name());
    }

    private static StoredObject readObject(ObjectName name, HttpAnswer answer)
            throws TarragonlugException {
        if (answer.status() == NOT_FOUND) {
            return new StoredObject(name, StoredObject.ABSENT, MissingNode.getInstance());
        }
        requireRead(answer);
        return readObject(name.kind(), JsonFields.parse(answer.body()), name);
    }

    private static StoredObject readObject(String kind, JsonNode node, ObjectName expected) {
        ObjectName name = new ObjectName(kind, JsonFields.text(node, "name"));
        if (expected != null && !expected.equals(name)) {
            throw new IllegalArgumentException(
                    "the answer contains object " + name + " instead of " + expected);
        }
        long version = JsonFields.count(node, "version");
        if (version == StoredObject.ABSENT) {
            return new StoredObject(name, version, MissingNode.getInstance());
        }
        return new StoredObject(name, version, JsonFields.object(node, "content"));
    }

    private static WatchResult readObjects(String kind, HttpAnswer answer, String field) {
        JsonNode body = JsonFields.parseForeign(answer.body());
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode node : JsonFields.array(body, field)) {
            objects.add(readObject(kind, node, null));
        }
        return new WatchResult(objects, JsonFields.count(body, "revision"), false);
    }

    private static void requireRead(HttpAnswer answer) throws TarragonlugException {
        if (answer.status() != 200) {
            String detail = "status " + answer.status();
            throw new TarragonlugException(ErrorCode.OBJECT_API_UNAVAILABLE, detail);
        }
    }

    private static void requireWritten(ObjectName name, long expected, HttpAnswer answer)
            throws TarragonlugException {
        int status = answer.status();
        if (status == 200 || status == 201 || status == 204) {
            return;
        }
        String detail = name + " expected version " + expected + ": status " + status;
        throw new TarragonlugException(writeError(status), detail);
    }

    private static ErrorCode writeError(int status) {
        switch (status) {
            case CONFLICT:
            case PRECONDITION_FAILED:
                return ErrorCode.WRITE_CONFLICT;
            case TOO_LARGE:
                return ErrorCode.OBJECT_TOO_LARGE;
            case UNAVAILABLE:
                return ErrorCode.OBJECT_API_UNAVAILABLE;
            case REQUEST_TIMEOUT:
                return ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
            default:
                return status >= 400 && status < 500
                        ? ErrorCode.OBJECT_API_UNAVAILABLE
                        : ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
        }
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
