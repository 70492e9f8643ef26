package org.tarragonlug.http;

/** Selects the connection on which a call is sent. */
public enum ConnectionUse {
    /** An idle pooled connection if there is one, otherwise a new one that is pooled afterwards. */
    POOLED,
    /**
     * A new connection that is closed after the call. The server may have closed a pooled
     * connection, or the connection may have become silent; the outcome of a call on it is then
     * unknown.
     */
    NEW
}
