package org.tarragonlug.measure;

/**
 * The result of a simulation of the choice of servers.
 *
 * @param requests number of requests
 * @param rejectedShare share of the requests that a full server rejected
 * @param busiestToMean requests sent to the busiest server, as a multiple of the mean
 * @param waitP50Millis median time in the queue of a server
 * @param waitP99Millis 99th percentile of the time in the queue of a server
 * @param waitMaxMillis longest time in the queue of a server
 * @param slowShare share of the requests that started on a server that was slow at that moment
 * @param timeP50Millis median time from sending to the end of the answer
 * @param timeP99Millis 99th percentile of the time from sending to the end of the answer
 * @param homeShare share of the requests that stayed in the failure domain of their instance
 */
record ServerChoiceResult(
        int requests,
        double rejectedShare,
        double busiestToMean,
        double waitP50Millis,
        double waitP99Millis,
        double waitMaxMillis,
        double slowShare,
        double timeP50Millis,
        double timeP99Millis,
        double homeShare) {}
