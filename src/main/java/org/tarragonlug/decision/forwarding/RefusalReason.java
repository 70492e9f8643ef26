package org.tarragonlug.decision.forwarding;

/** The reason why a request that has not run is refused. */
public enum RefusalReason {
    /** The instance has not received a configuration yet. */
    NO_CONFIGURATION(503),
    /** No route matches the host and path. */
    NO_ROUTE(404),
    /** The request has no key, or its key is not valid. */
    KEY_UNKNOWN(401),
    /** Whether the key is valid is not certain at present. */
    KEY_UNCONFIRMED(503),
    /** The account has used up its allowance, or it is not known whether it has. */
    QUOTA_EXCEEDED(429),
    /** The service has no available server. */
    NO_SERVER(503),
    /** The model is expected to be ready too late for the caller. */
    MODEL_NOT_READY(503),
    /** Servers rejected the request, and no further server may be tried. */
    TURNED_AWAY(503),
    /** Requests like this one crashed servers, so it is kept from further servers. */
    QUARANTINED(503),
    /** The instance stops before the request could be sent to a server. */
    STOPPING(503),
    /** The caller's time limit expired before a server ran the request. */
    TIME_OVER(503);

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /** Returns whether the request is refused for its key, or for the lack of one. */
    public boolean concernsKey() {
        return this == KEY_UNKNOWN || this == KEY_UNCONFIRMED;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /**
     * Returns whether callers take the status for the promise that the request has not run and
     * never will. They read no such promise in a 401 or 404, though it has not run either.
     */
    public boolean promisesNotRun() {
        return status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    }
}
