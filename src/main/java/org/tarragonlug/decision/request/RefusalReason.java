package org.tarragonlug.decision.request;

/** Why a request was refused; each constant has an error code of the same name. */
public enum RefusalReason {
    /** The body is larger than the route allows. */
    BODY_TOO_LARGE,
    /** No route matches. */
    ROUTE_NOT_FOUND,
    /** The pool has no such model or adapter. */
    ARTIFACT_NOT_FOUND,
    /** The route requires an idempotency key, and the request has none. */
    KEY_REQUIRED,
    /** Too many requests wait for the artifact. */
    QUEUE_FULL,
    /** The route has reached its limit of requests per second or of body bytes held. */
    RATE_LIMITED,
    /** The request cannot be served before its deadline, or the deadline has passed on arrival. */
    DEADLINE_TOO_NEAR,
    /** The deadline is about to pass and the request has not been answered. */
    DEADLINE_EXCEEDED,
    /** No server can make the artifact ready at present, or no server accepts the request. */
    NO_CAPACITY,
    /** The backend server failed and no further retry is allowed. */
    BACKEND_FAILED,
    /** The request may have run and must not be repeated by this system. */
    OUTCOME_UNKNOWN,
    /** A request with the same idempotency key is in progress. */
    DUPLICATE_IN_PROGRESS,
    /** The idempotency key was used with another body. */
    KEY_REUSED,
    /** The claim cannot be recorded at present. */
    CLAIM_UNAVAILABLE,
    /** The request is quarantined because it crashed backend servers. */
    REQUEST_QUARANTINED,
    /** The backend server rejected the request itself as invalid. */
    REJECTED_BY_BACKEND,
    /** No configuration has been received yet, or the drain deadline of the instance has passed. */
    NOT_READY
}
