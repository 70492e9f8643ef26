package org.tarragonlug.http;

import java.util.Set;

/** Selects the connection on which a call is sent. */
public enum ConnectionUse {
    /**
     * An idle pooled connection if there is one, otherwise a new one that is pooled afterwards. A
     * server may send an answer to an earlier call on it once more, so the receiver must be able to
     * tell from the answer that it belongs to this call. A call with an {@link AnswerName} is never
     * sent on a connection that has carried a call of the same name; if the pool offers one, a new
     * connection is used.
     */
    POOLED,
    /**
     * A new connection that is closed after the call. The first answer on it belongs to the call.
     * The server may have closed a pooled connection, or the connection may have become silent; the
     * outcome of a call on it is then unknown.
     */
    NEW;

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /**
     * Returns the connection for a call whose answers do not name it.
     *
     * <p>On a pooled connection the copy of an answer to an earlier call may be taken for the
     * answer to this one. A call that changes something would count as done although it was
     * refused, or as refused although it was done, so it gets a connection of its own. Calls that
     * only read are frequent and share connections: receivers compare what the content shows, but
     * an answer without content, or with that of another list, can not be told from their own.
     *
     * @param method HTTP method of the call
     */
    public static ConnectionUse ofUnnamedCall(String method) {
        return SAFE_METHODS.contains(method) ? POOLED : NEW;
    }
}
