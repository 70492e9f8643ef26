package org.tarragonlug.decision.forwarding;

/** Whether the requests of a route may be retried. */
public enum RequestKind {
    /** Requests may run more than once. */
    IDEMPOTENT {
        @Override
        public boolean retryable(boolean resumable) {
            return true;
        }
    },
    /** Requests may run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean retryable(boolean resumable) {
            return false;
        }
    },
    /** The answer is a stream of events; requests may run again only if a stream can be resumed. */
    STREAMING {
        @Override
        public boolean retryable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may already have run may be sent again.
     *
     * @param resumable whether the route allows a broken stream to be resumed
     */
    public abstract boolean retryable(boolean resumable);
}
