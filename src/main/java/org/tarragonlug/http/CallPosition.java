package org.tarragonlug.http;

/**
 * The place of a call among all calls of its connection.
 *
 * @param localPort local port of the connection, by which the server's log names it too
 * @param earlierCalls number of calls that the connection carried before
 * @param movedToNewConnection whether the call got this connection because a kept one had carried a
 *     call of the same {@link AnswerName}
 */
public record CallPosition(int localPort, int earlierCalls, boolean movedToNewConnection) {
    /** Returns whether nothing that arrives on the connection can belong to an earlier call. */
    public boolean isFirst() {
        return earlierCalls == 0;
    }
}
