package org.tarragonlug.decision.forwarding;

/** The reason why a request that may have run ends without a complete answer. */
public enum FailureReason {
    /** The connection to the server broke or was closed, and the request is not sent again. */
    SERVER_LOST(502),
    /**
     * The server answered with a status that tells callers that the request has not run, but did
     * not state that itself.
     */
    ANSWER_AMBIGUOUS(502),
    /** The timeout of the route or of the caller expired. */
    TIME_OVER(504);

    private final int status;

    FailureReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. None of these statuses says whether the request has run. */
    public int status() {
        return status;
    }
}
