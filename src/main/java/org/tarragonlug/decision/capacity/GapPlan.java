package org.tarragonlug.decision.capacity;

/**
 * The parts of a gap between arrivals during which an artifact should be loaded.
 *
 * <p>Staying loaded during a bucket costs the idle time spent in the bucket. Being unloaded costs
 * {@code cost} for each caller that arrives in the bucket. Loading again costs {@code reloadCost}
 * in all gaps that last until the reload. Dynamic programming from the last bucket to the first
 * finds the cheapest sequence of the two states; it is exact for gaps in the middle of their
 * buckets. Without a reload the result is the time t that minimises {@code E[min(gap, t)] + cost *
 * E[callers; gap > t]}; with one caller after each gap the second term is {@code cost * P(gap >
 * t)}.
 *
 * <p>Loading again pays off if gaps are regular. For example, predictions that are made every five
 * minutes during a flight need the model only from the fourth minute of each gap.
 */
final class GapPlan {
    private final boolean[] stayLoaded;
    private final boolean[] loadAgain;
    private final double expectedCost;

    /**
     * Finds the cheapest plan.
     *
     * @param weights weight of each gap bucket
     * @param callers weight of the callers that arrived at the end of the gaps of each bucket
     * @param cost cost of one caller's wait for a cold start, in idle seconds
     * @param reloadCost cost of loading the artifact again, in idle seconds; may be infinite
     */
    GapPlan(double[] weights, double[] callers, double cost, double reloadCost) {
        int buckets = weights.length;
        stayLoaded = new boolean[buckets];
        loadAgain = new boolean[buckets];
        double gapsNotEnded = weights[buckets - 1];
        // Least cost from the start of a bucket on, if the artifact is loaded or unloaded when the
        // bucket begins.
        double loaded = cost * callers[buckets - 1];
        double unloaded = loaded;
        for (int bucket = buckets - 2; bucket >= 0; bucket--) {
            double lower = GapHistogram.lowerSeconds(bucket);
            double idle =
                    gapsNotEnded * (GapHistogram.lowerSeconds(bucket + 1) - lower)
                            + weights[bucket] * (GapHistogram.middleSeconds(bucket) - lower);
            gapsNotEnded += weights[bucket];
            double stayingLoaded = idle + loaded;
            double beingUnloaded = cost * callers[bucket] + unloaded;
            double loadingAgain =
                    gapsNotEnded > 0 ? reloadCost * gapsNotEnded + stayingLoaded : stayingLoaded;
            stayLoaded[bucket] = stayingLoaded < beingUnloaded;
            loadAgain[bucket] = loadingAgain < beingUnloaded;
            loaded = Math.min(stayingLoaded, beingUnloaded);
            unloaded = Math.min(loadingAgain, beingUnloaded);
        }
        expectedCost = loaded;
    }

    /**
     * Returns the expected cost of the plan from one request to the next, in idle seconds, summed
     * over the weights of all gaps.
     */
    double expectedCost() {
        return expectedCost;
    }

    /**
     * Returns the idle time until which an artifact that is now loaded should stay loaded.
     *
     * @param idleSeconds idle time so far
     * @return seconds since the last arrival; at most {@code idleSeconds} if the artifact should be
     *     unloaded now
     */
    double keepSeconds(double idleSeconds) {
        int bucket = GapHistogram.bucket(idleSeconds);
        while (stayLoaded[bucket]) {
            bucket++;
        }
        return GapHistogram.lowerSeconds(bucket);
    }

    /**
     * Tells whether an unloaded artifact should be loaded so that it is ready at the given idle
     * time.
     *
     * @param idleSeconds idle time at which the artifact would be ready
     */
    boolean loadDue(double idleSeconds) {
        return loadAgain[GapHistogram.bucket(idleSeconds)];
    }
}
