package org.tarragonlug.http;

/**
 * The place of a call among all calls of its connection.
 *
 * @param localPort local port of the connection, by which the server's log names it too
 * @param earlierCalls number of calls that the connection carried before
 * @param carriedBefore whether one of them had the same {@link AnswerName}, so that a late answer
 *     to it can not be told from the answer to this call
 */
public record CallPosition(int localPort, int earlierCalls, boolean carriedBefore) {
    /** Returns whether nothing that arrives on the connection can belong to an earlier call. */
    public boolean isFirst() {
        return earlierCalls == 0;
    }
}
