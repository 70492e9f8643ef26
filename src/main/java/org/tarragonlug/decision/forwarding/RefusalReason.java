package org.tarragonlug.decision.forwarding;

/** Why a request that has not run is refused. */
public enum RefusalReason {
    /** The instance knows no configuration yet. */
    NO_CONFIGURATION(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The service has no server that takes work. */
    NO_SERVER(503),
    /** The model can not be ready in time. */
    MODEL_NOT_READY(503),
    /** Servers turned the request away, and it may not be offered to more of them. */
    TURNED_AWAY(503),
    /** The instance stops before a server could have the request. */
    STOPPING(503),
    /** The time was over before a server ran it. */
    TIME_OVER(503);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status; each of them states that the request has not run. */
    public int status() {
        return status;
    }
}
