package org.tarragonlug.error;

import java.util.Locale;

/**
 * All errors of the system, each with its stable code, HTTP status, meaning and remedy.
 *
 * <p>Codes are part of the public interface for callers and operators and are never reused.
 */
public enum ErrorCode {
    // Errors in answers to callers.
    BAD_REQUEST(400, "the request is malformed", "correct the request; see docs/api.md"),
    BODY_TOO_LARGE(413, "the body is larger than the route allows", "send a smaller body"),
    HEADERS_TOO_LARGE(431, "the headers are too large", "send fewer or shorter headers"),
    REQUEST_TIMEOUT(408, "the request was not sent completely in time", "send the request faster"),
    ROUTE_NOT_FOUND(404, "no route matches the request", "check path, model and headers"),
    ARTIFACT_NOT_FOUND(
            404, "the pool has no such model or adapter", "use a model or adapter of the pool"),
    KEY_REQUIRED(400, "the route needs an idempotency key", "send the header Idempotency-Key"),
    QUEUE_FULL(429, "too many requests are waiting", "retry after the stated time"),
    RATE_LIMITED(429, "the route admits no more requests now", "retry after the stated time"),
    DEADLINE_TOO_NEAR(503, "the request cannot be served in time", "use a later deadline"),
    DEADLINE_EXCEEDED(504, "the deadline passed", "retry with a later deadline"),
    NO_CAPACITY(503, "no server can make the model ready now", "retry after the stated time"),
    BACKEND_FAILED(502, "the backend server failed", "retry if the request may be repeated"),
    OUTCOME_UNKNOWN(502, "the request may have run", "check its effect before a retry"),
    DUPLICATE_IN_PROGRESS(
            409, "a request with the same key is in progress", "retry after the stated time"),
    KEY_REUSED(422, "the key was used with another body", "use a new key for a new request"),
    CLAIM_UNAVAILABLE(503, "the claim cannot be recorded now", "retry after the stated time"),
    REQUEST_QUARANTINED(422, "the request crashed servers", "change the request; do not resend it"),
    REJECTED_BY_BACKEND(422, "the backend server rejected the request", "correct the request"),
    NOT_READY(503, "the instance has no configuration yet or is stopping", "use another instance"),
    // Errors shown to operators or passed between components.
    SETTINGS_INVALID(0, "the settings are invalid", "correct the named fields"),
    TABLES_INVALID(0, "the tables are invalid", "correct the named rows"),
    WRITE_CONFLICT(
            0, "the object was changed in the meantime", "read it again and repeat the edit"),
    OBJECT_API_UNAVAILABLE(0, "the object API does not answer", "wait for it or check its address"),
    OBJECT_API_OUTCOME_UNKNOWN(0, "the answer to a write was lost", "read the object back"),
    OBJECT_TOO_LARGE(0, "the object exceeds 1 MB", "split the table or the server group"),
    INSTANCE_LIST_UNAVAILABLE(0, "the instance list does not answer", "check its address"),
    WEIGHT_STORE_UNAVAILABLE(0, "the weight store does not answer", "check its address"),
    BACKEND_UNREACHABLE(0, "the backend server does not answer", "check the server"),
    BACKEND_CALL_UNKNOWN(
            0, "the backend server does not know the call", "update the server, or do without it"),
    PEER_UNREACHABLE(0, "the peer does not answer", "check the peer and the network"),
    PEER_FRAME_INVALID(
            0, "a frame from a peer is invalid", "check that the peer runs this software"),
    ADDRESS_IN_USE(0, "the address cannot be bound", "choose another address in the settings"),
    INTERNAL(500, "an internal error occurred", "report it with the request id");

    private final int status;
    private final String meaning;
    private final String remedy;

    ErrorCode(int status, String meaning, String remedy) {
        this.status = status;
        this.meaning = meaning;
        this.remedy = remedy;
    }

    /** Returns the stable code, in lower case with underscores. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the HTTP status of the answer to a caller; 0 for errors that are never sent to
     * callers.
     */
    public int status() {
        return status;
    }

    /** Returns the recommended remedy for the caller or operator. */
    public String remedy() {
        return remedy;
    }

    /**
     * Returns the complete error message.
     *
     * @param detail description of the specific fault
     * @return meaning, detail and remedy, in one line
     */
    public String message(String detail) {
        return meaning + ": " + detail + "; remedy: " + remedy;
    }
}
