package org.tarragonlug.decision.capacity;

/**
 * In which part of a gap an artifact is best kept loaded.
 *
 * <p>Staying loaded through a bucket costs the idle time spent in it; being unloaded costs {@code
 * cost} for each caller that arrives in it; loading again costs {@code reloadCost} in all gaps that
 * last that long. The cheapest sequence of both states is found by dynamic programming from the
 * last bucket to the first, which is exact for gaps in the middle of their buckets. Without loading
 * again it is the time t that minimises {@code E[min(gap, t)] + cost * E[callers; gap > t]}, and
 * with one caller after each gap the second term is {@code cost * P(gap > t)}.
 *
 * <p>Loading again pays where gaps are regular: predictions every five minutes of a flight need the
 * model only from the fourth minute.
 */
final class GapPlan {
    private final boolean[] stayLoaded;
    private final boolean[] loadAgain;
    private final double expectedCost;

    /**
     * Finds the cheapest plan.
     *
     * @param weights weight of each gap bucket
     * @param callers weight of the callers after the gaps of each bucket
     * @param cost idle seconds that one caller's wait for a cold start is worth
     * @param reloadCost idle seconds that loading again is worth; may be infinite
     */
    GapPlan(double[] weights, double[] callers, double cost, double reloadCost) {
        int buckets = weights.length;
        stayLoaded = new boolean[buckets];
        loadAgain = new boolean[buckets];
        double longer = weights[buckets - 1];
        double loaded = cost * callers[buckets - 1];
        double unloaded = loaded;
        for (int bucket = buckets - 2; bucket >= 0; bucket--) {
            double lower = GapHistogram.lowerSeconds(bucket);
            double idle =
                    longer * (GapHistogram.lowerSeconds(bucket + 1) - lower)
                            + weights[bucket] * (GapHistogram.middleSeconds(bucket) - lower);
            longer += weights[bucket];
            double stay = idle + loaded;
            double leave = cost * callers[bucket] + unloaded;
            double reload = longer > 0 ? reloadCost * longer + stay : stay;
            stayLoaded[bucket] = stay < leave;
            loadAgain[bucket] = reload < leave;
            loaded = Math.min(stay, leave);
            unloaded = Math.min(reload, leave);
        }
        expectedCost = loaded;
    }

    /** Returns the cost of the plan from a request on, summed over the weights of all gaps. */
    double expectedCost() {
        return expectedCost;
    }

    /**
     * Returns until which idle time a loaded artifact stays.
     *
     * @param idleSeconds idle time so far
     * @return seconds since the last arrival; at most {@code idleSeconds} when it should be
     *     unloaded
     */
    double keepSeconds(double idleSeconds) {
        int bucket = GapHistogram.bucket(idleSeconds);
        while (stayLoaded[bucket]) {
            bucket++;
        }
        return GapHistogram.lowerSeconds(bucket);
    }

    /**
     * Tells whether an unloaded artifact should be loaded by a given idle time.
     *
     * @param idleSeconds idle time by which it would be ready
     */
    boolean loadDue(double idleSeconds) {
        return loadAgain[GapHistogram.bucket(idleSeconds)];
    }
}
