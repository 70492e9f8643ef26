package org.tarragonlug.soak;

/** Kinds of requests that callers send, one for each route of the configuration. */
enum RequestKind {
    ASK("engines", "/ask/", true, true),
    SCORE("engines", "/score/", true, false),
    ISSUE("records", "/issue/", false, false),
    READ("records", "/read/", false, true),
    PAY("ledger", "/pay/", false, false),
    LOOK("ledger", "/look/", false, true);

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

    String path() {
        return path;
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
