package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.tarragonlug.caller.CallerRequest;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.request.RequestDescription;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.IdempotencyKey;

/** Extracts from a caller's request the properties that the request coordinator needs. */
final class RequestDescriber {
    /** Request header with the time that the caller waits for an answer, in milliseconds. */
    static final String TIMEOUT_HEADER = "x-request-timeout-ms";

    /** Request header with the priority of the request. */
    static final String PRIORITY_HEADER = "x-priority";

    /** Request header with the idempotency key, which is the same in all retries of a request. */
    static final String KEY_HEADER = "idempotency-key";

    private static final int MAXIMUM_KEY_LENGTH = 255;

    /** Maximum number of characters of the first message or the prompt in the prefix hash. */
    private static final int PREFIX_LENGTH = 256;

    private final Hasher hasher;

    RequestDescriber(Hasher hasher) {
        this.hasher = hasher;
    }

    /**
     * Returns the description of a request.
     *
     * @throws TarragonlugException {@code BAD_REQUEST} if one of the three headers is malformed
     */
    RequestDescription describe(CallerRequest request) throws TarragonlugException {
        return new RequestDescription(
                request.method(),
                request.path(),
                request.model(),
                request.headers(),
                timeout(request),
                priority(request),
                key(request),
                new Fingerprint(Sha256.of(request.body())),
                request.body().length,
                prefixHash(request),
                request.streaming());
    }

    private static Optional<Duration> timeout(CallerRequest request) throws TarragonlugException {
        String text = request.headers().get(TIMEOUT_HEADER);
        if (text == null) {
            return Optional.empty();
        }
        if (!text.matches("[1-9][0-9]{0,8}")) {
            throw badHeader(TIMEOUT_HEADER, "must be a whole number of milliseconds");
        }
        return Optional.of(Duration.ofMillis(Long.parseLong(text)));
    }

    private static Optional<Priority> priority(CallerRequest request) throws TarragonlugException {
        String text = request.headers().get(PRIORITY_HEADER);
        if (text == null) {
            return Optional.empty();
        }
        for (Priority priority : Priority.values()) {
            if (priority.name().equals(text.toUpperCase(Locale.ROOT))) {
                return Optional.of(priority);
            }
        }
        throw badHeader(PRIORITY_HEADER, "must be interactive, normal or batch");
    }

    private static Optional<IdempotencyKey> key(CallerRequest request) throws TarragonlugException {
        String text = request.headers().get(KEY_HEADER);
        if (text == null) {
            return Optional.empty();
        }
        if (text.isEmpty() || text.length() > MAXIMUM_KEY_LENGTH) {
            throw badHeader(KEY_HEADER, "must have 1 to " + MAXIMUM_KEY_LENGTH + " characters");
        }
        return Optional.of(new IdempotencyKey(text));
    }

    private static TarragonlugException badHeader(String header, String rule) {
        return new TarragonlugException(ErrorCode.BAD_REQUEST, "header " + header + " " + rule);
    }

    private long prefixHash(CallerRequest request) {
        if (request.json().isEmpty()) {
            return 0;
        }
        JsonNode body = request.json().get();
        JsonNode input = body.has("messages") ? body.get("messages").get(0) : body.path("prompt");
        String text = input.isTextual() ? input.asText() : input.toString();
        int length = Math.min(text.length(), PREFIX_LENGTH);
        return hasher.hash(request.model().orElse("") + "\n" + text.substring(0, length));
    }
}
