package org.tarragonlug.decision.forwarding;

/** The reason why a server did not run a request that was sent to it. */
public enum Rejection {
    /** The server is full, is leaving, or is carrying out an order. */
    BUSY,
    /** The server does not hold the model. */
    MODEL_ABSENT,
    /** Another server now has the address. */
    WRONG_SERVER,
    /** No connection could be established, and therefore nothing was sent. */
    UNREACHABLE,
    /**
     * The server accepts no connection besides one that has carried the request before, so nothing
     * was sent. Its other requests go on.
     */
    NO_OTHER_CONNECTION,
    /** The server stopped wanting requests before this one was written, so nothing was sent. */
    WITHDRAWN;

    /** Tells whether the server that the request was meant for rejected it. */
    public boolean isByServer() {
        return this == BUSY || this == MODEL_ABSENT;
    }

    /** Tells whether the request reached some server, so that the next send of it is a retry. */
    public boolean reachedServer() {
        return this != UNREACHABLE && this != NO_OTHER_CONNECTION && this != WITHDRAWN;
    }
}
