package org.tarragonlug.http;

/** Selects the connection on which a call is sent. */
public enum ConnectionUse {
    /**
     * An idle pooled connection if there is one, otherwise a new one that is pooled afterwards. A
     * server may send an answer to an earlier call on it once more, so the receiver must be able to
     * tell from the answer that it belongs to this call.
     */
    POOLED,
    /**
     * A new connection that is closed after the call. The first answer on it belongs to the call.
     * The server may have closed a pooled connection, or the connection may have become silent; the
     * outcome of a call on it is then unknown.
     */
    NEW
}
