package org.tarragonlug.gateway;

import org.tarragonlug.decision.forwarding.RequestKind;

/** The kinds of requests whose orders of events are explored. */
enum ExploredRequestKind {
    NON_IDEMPOTENT(RequestKind.NON_IDEMPOTENT, false, false),
    NON_IDEMPOTENT_WITH_MODEL(RequestKind.NON_IDEMPOTENT, true, false),
    IDEMPOTENT(RequestKind.IDEMPOTENT, false, false),
    STREAM(RequestKind.STREAMING, true, false),
    RESUMABLE_STREAM(RequestKind.STREAMING, true, true);

    private static final int RETRIED_ATTEMPTS = 2;

    private final RequestKind kind;
    private final boolean model;
    private final boolean resumable;

    ExploredRequestKind(RequestKind kind, boolean model, boolean resumable) {
        this.kind = kind;
        this.model = model;
        this.resumable = resumable;
    }

    RequestKind kind() {
        return kind;
    }

    boolean needsModel() {
        return model;
    }

    boolean isResumable() {
        return resumable;
    }

    boolean isStream() {
        return kind == RequestKind.STREAMING;
    }

    /** Returns how often servers may begin the request. */
    int maximumRuns() {
        return resumable || kind == RequestKind.IDEMPOTENT ? RETRIED_ATTEMPTS : 1;
    }
}
