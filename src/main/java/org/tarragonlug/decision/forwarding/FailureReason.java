package org.tarragonlug.decision.forwarding;

/** Why a request that may have run ends without a whole answer. */
public enum FailureReason {
    /** The server's connection broke and the request may not be sent again. */
    SERVER_LOST(502),
    /** The time of the route or of the caller was over. */
    TIME_OVER(504);

    private final int status;

    FailureReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status; none of them says whether the request has run. */
    public int status() {
        return status;
    }
}
