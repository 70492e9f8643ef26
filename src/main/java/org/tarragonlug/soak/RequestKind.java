package org.tarragonlug.soak;

/**
 * Kinds of requests that callers send, one for each route of the configuration or group of routes.
 */
enum RequestKind {
    ASK("engines", "/ask/", true, true),
    SCORE("engines", "/score/", true, false),
    ISSUE("records", "/issue/", false, false),
    READ("records", "/read/", false, true),
    PAY("ledger", "/pay/", false, false),
    LOOK("ledger", "/look/", false, true),
    /** Requests on routes that versions of the configuration add and drop. */
    ADDED("records", "/added-", false, true);

    private final String service;
    private final String path;
    private final boolean streaming;
    private final boolean repeatable;

    RequestKind(String service, String path, boolean streaming, boolean repeatable) {
        this.service = service;
        this.path = path;
        this.streaming = streaming;
        this.repeatable = repeatable;
    }

    /** Returns the service of the route. */
    String service() {
        return service;
    }

    /**
     * Returns the path of the requests, to which their id is added.
     *
     * @param version version that has added the route, for routes that versions add
     */
    String path(int version) {
        return this == ADDED ? path + version + "/" : path;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Returns whether the request may run more than once. */
    boolean isRepeatable() {
        return repeatable;
    }

    /** Returns how long the caller waits for the complete answer, in milliseconds. */
    long deadlineMillis() {
        return streaming ? 6000 : 3000;
    }
}
