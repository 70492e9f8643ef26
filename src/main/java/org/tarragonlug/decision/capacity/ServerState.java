package org.tarragonlug.decision.capacity;

/** State of a server in the capacity record. */
public enum ServerState {
    /** New slots may be placed on the server. */
    ACTIVE,
    /** The server is about to stop. No new slots are placed on it. */
    LEAVING
}
