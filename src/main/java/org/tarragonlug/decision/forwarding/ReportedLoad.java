package org.tarragonlug.decision.forwarding;

/**
 * Load that a server states with an answer.
 *
 * @param running requests it works on
 * @param waiting requests in its queue
 * @param slots requests it works on at once
 */
public record ReportedLoad(int running, int waiting, int slots) {
    /** Returns all requests at the server. */
    public int total() {
        return running + waiting;
    }
}
