package org.tarragonlug.decision.capacity;

/** State of a server in the capacity record. */
public enum ServerState {
    /** May take new slots. */
    ACTIVE,
    /** Is about to stop and takes no new slots. */
    LEAVING
}
