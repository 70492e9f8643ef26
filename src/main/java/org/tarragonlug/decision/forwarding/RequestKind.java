package org.tarragonlug.decision.forwarding;

/** What a route says about the repetition of its requests. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT {
        @Override
        public boolean retryable(boolean resumable) {
            return true;
        }
    },
    /** May run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean retryable(boolean resumable) {
            return false;
        }
    },
    /** Answered by a stream of events; may run again only where the stream can be resumed. */
    STREAMING {
        @Override
        public boolean retryable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @param resumable whether the route allows to resume a stream
     */
    public abstract boolean retryable(boolean resumable);
}
