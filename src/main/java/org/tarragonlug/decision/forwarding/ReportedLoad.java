package org.tarragonlug.decision.forwarding;

/**
 * The load that a server reports with an answer.
 *
 * @param running number of requests that the server is processing
 * @param waiting number of requests in the server's queue
 * @param slots maximum number of requests that the server processes at the same time
 * @param pace how long work takes on the server at present, in percent of the usual time; {@link
 *     #USUAL_PACE} if the server does not state it
 */
public record ReportedLoad(int running, int waiting, int slots, int pace) {
    /** The pace of a server on which work takes the usual time, in percent. */
    public static final int USUAL_PACE = 100;

    /** Creates the load of a server that states no pace. */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, USUAL_PACE);
    }

    /** Returns the number of requests at the server, both running and waiting. */
    public int total() {
        return running + waiting;
    }
}
