package org.tarragonlug.http;

/** Which connection a call uses. */
public enum ConnectionUse {
    /** An idle pooled connection if there is one, else a new one that is pooled afterwards. */
    POOLED,
    /**
     * A new connection, closed afterwards. A pooled connection may have been closed by the server
     * or become silent, which leaves the outcome of a call unknown.
     */
    NEW
}
