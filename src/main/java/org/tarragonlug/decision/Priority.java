package org.tarragonlug.decision;

/** Priority of a request. Requests with an earlier constant are served first. */
public enum Priority {
    /** A user is waiting for the answer. */
    INTERACTIVE,
    /** The default. */
    NORMAL,
    /** The request can wait until all requests of other priorities are served. */
    BATCH
}
