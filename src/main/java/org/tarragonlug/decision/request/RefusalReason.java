package org.tarragonlug.decision.request;

/** Why a request was refused; each constant has an error code of the same name. */
public enum RefusalReason {
    /** The body is larger than the route allows. */
    BODY_TOO_LARGE,
    /** No route matches. */
    ROUTE_NOT_FOUND,
    /** The pool has no such model or adapter. */
    ARTIFACT_NOT_FOUND,
    /** The route needs an idempotency key. */
    KEY_REQUIRED,
    /** Too many requests wait for the artifact. */
    QUEUE_FULL,
    /** The route admits no more requests or bytes now. */
    RATE_LIMITED,
    /** The request cannot be served before its deadline. */
    DEADLINE_TOO_NEAR,
    /** The deadline is about to pass. */
    DEADLINE_EXCEEDED,
    /** No server can make the artifact ready now, or none takes the request. */
    NO_CAPACITY,
    /** The backend server failed and the request may not be retried any more. */
    BACKEND_FAILED,
    /** The request may have run and must not be repeated by this system. */
    OUTCOME_UNKNOWN,
    /** A request with the same key is in progress. */
    DUPLICATE_IN_PROGRESS,
    /** The key was used with another body. */
    KEY_REUSED,
    /** The claim cannot be recorded now. */
    CLAIM_UNAVAILABLE,
    /** The request crashed backend servers. */
    REQUEST_QUARANTINED,
    /** The backend server found the request at fault. */
    REJECTED_BY_BACKEND,
    /** No configuration is known yet, or the instance reached its time limit for stopping. */
    NOT_READY
}
