package org.tarragonlug.measure;

/**
 * What became of the requests of a run.
 *
 * @param requests requests that arrived
 * @param admittedShare cost that was admitted, as a fraction of the cost of all requests
 * @param refusedWithin requests refused although the account's allowance, less what was admitted,
 *     had room for them
 * @param largestUse largest cost in any window, as a fraction of the limit
 * @param waited requests that waited for a grant
 * @param bytesPerSecond additional bytes of messages that each instance sent and received per
 *     second, without the planner
 * @param globalShare the same for one bucket with perfect knowledge
 * @param equalShare the same for an equal share of the bucket at each instance
 */
record QuotaResult(
        long requests,
        double admittedShare,
        long refusedWithin,
        double largestUse,
        long waited,
        double bytesPerSecond,
        double globalShare,
        double equalShare) {
    double refusedWithinShare() {
        return requests == 0 ? 0 : (double) refusedWithin / requests;
    }
}
