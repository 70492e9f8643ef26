package org.tarragonlug.decision;

/** Priority of a request. Requests with an earlier constant are served first. */
public enum Priority {
    /** A user is waiting for the answer. */
    INTERACTIVE,
    /** The default priority. */
    NORMAL,
    /** The request can wait behind requests of all other priorities. */
    BATCH
}
