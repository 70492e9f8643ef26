package org.tarragonlug.decision;

/** Priority of a request; an earlier constant goes first. */
public enum Priority {
    /** Somebody waits for the answer right now. */
    INTERACTIVE,
    /** The default. */
    NORMAL,
    /** Can wait behind all others. */
    BATCH
}
