package org.tarragonlug.decision.forwarding;

/** Why the requests in flight at a server are limited. */
public enum LimitCause {
    /** A run of the server was listed for the first time, beside servers that are in use. */
    START(true),
    /** A pause that the server asked for has ended. */
    PAUSE(false),
    /** Connections to the server failed. */
    UNREACHABLE(true),
    /** Several requests at the server made no progress. */
    SLOW(true);

    private final boolean yields;

    LimitCause(boolean yields) {
        this.yields = yields;
    }

    /**
     * Tells whether a request that only this server can run exceeds the limit without waiting. A
     * server that asked for a pause is overloaded by all requests that waited for it, so they
     * return over a short time.
     */
    boolean yields() {
        return yields;
    }
}
