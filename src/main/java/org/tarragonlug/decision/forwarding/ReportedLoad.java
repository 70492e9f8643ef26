package org.tarragonlug.decision.forwarding;

/**
 * The load that a server reports with an answer.
 *
 * @param running number of requests that the server is processing
 * @param waiting number of requests in the server's queue
 * @param slots maximum number of requests that the server processes at the same time
 */
public record ReportedLoad(int running, int waiting, int slots) {
    /** Returns the number of requests at the server, both running and waiting. */
    public int total() {
        return running + waiting;
    }
}
