package org.tarragonlug.decision.capacity;

/**
 * An exponentially decayed histogram of the gaps between arrivals, with logarithmic buckets.
 *
 * <p>There are four buckets per octave, from one second to more than two weeks. A gap counts as the
 * geometric middle of its bucket, which is at most 9% off. Weights decay over time with a half-life
 * of two weeks. Decay is applied forward: later gaps get a larger weight, so that the weights of
 * earlier gaps need not be reduced.
 *
 * <p>Each bucket also counts the callers that arrived at the end of its gaps, because all callers
 * of a burst wait for the same cold start. Staying loaded for a class that returns after ten
 * minutes therefore saves more than for a single question after two minutes.
 */
final class GapHistogram {
    static final int BUCKETS = 84;
    static final double HALF_LIFE_SECONDS = 14 * 86_400;

    private static final double BUCKETS_PER_OCTAVE = 4;
    private static final double RESCALE_EXPONENT = 64;
    private static final double[] LOWER_SECONDS = new double[BUCKETS];
    private static final double[] MIDDLE_SECONDS = new double[BUCKETS];

    static {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            LOWER_SECONDS[bucket] = bucket == 0 ? 0 : Math.pow(2, bucket / BUCKETS_PER_OCTAVE);
            MIDDLE_SECONDS[bucket] = Math.pow(2, (bucket + 0.5) / BUCKETS_PER_OCTAVE);
        }
    }

    private final double[] weights;
    private final double[] callers;
    private double originSeconds;

    /**
     * Creates a histogram.
     *
     * @param weights weight of each bucket at the time of origin; copied
     * @param callers weight of the callers that arrived at the end of the gaps of each bucket, at
     *     the time of origin; copied
     * @param originSeconds time of origin, at which a gap has weight one, seconds since the epoch
     */
    GapHistogram(double[] weights, double[] callers, double originSeconds) {
        this.weights = weights.clone();
        this.callers = callers.clone();
        this.originSeconds = originSeconds;
    }

    /** Returns the weight of each bucket, decayed to the given time. */
    double[] weightsAt(double nowSeconds) {
        rescale(nowSeconds);
        return weights.clone();
    }

    /** Returns the weight of the callers of each bucket, decayed to the given time. */
    double[] callersAt(double nowSeconds) {
        rescale(nowSeconds);
        return callers.clone();
    }

    /** Records a gap of {@code gapSeconds} between two arrivals. */
    void add(double gapSeconds, double nowSeconds) {
        double weight = weight(nowSeconds);
        weights[bucket(gapSeconds)] += weight;
    }

    /**
     * Records callers that would have waited for a cold start if the artifact had been unloaded
     * during the gap.
     */
    void addCallers(double gapSeconds, int count, double nowSeconds) {
        double weight = weight(nowSeconds);
        callers[bucket(gapSeconds)] += count * weight;
    }

    private double weight(double nowSeconds) {
        double exponent = (nowSeconds - originSeconds) / HALF_LIFE_SECONDS;
        if (exponent > RESCALE_EXPONENT) {
            rescale(nowSeconds);
            return 1;
        }
        return Math.pow(2, exponent);
    }

    private void rescale(double nowSeconds) {
        double factor = Math.pow(2, (originSeconds - nowSeconds) / HALF_LIFE_SECONDS);
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            weights[bucket] *= factor;
            callers[bucket] *= factor;
        }
        originSeconds = nowSeconds;
    }

    /** Returns the number of gaps, decayed to the given time. */
    double total(double nowSeconds) {
        return sum(weights) * Math.pow(2, (originSeconds - nowSeconds) / HALF_LIFE_SECONDS);
    }

    /**
     * Returns the plan of the times in a gap at which the artifact should be loaded.
     *
     * @param cost cost of one caller's wait for a cold start, in idle seconds
     * @param reloadCost cost of loading the artifact again, in idle seconds; may be infinite
     */
    GapPlan plan(double cost, double reloadCost) {
        return new GapPlan(weights, callers, cost, reloadCost);
    }

    /**
     * Returns the probability of an arrival within the given time, if none has arrived during the
     * idle time so far.
     *
     * @param idleSeconds time since the last arrival
     * @param withinSeconds length of the future interval
     */
    double arrivalProbability(double idleSeconds, double withinSeconds) {
        double longer = weightAbove(idleSeconds);
        if (longer <= 0) {
            return 0;
        }
        return 1 - weightAbove(idleSeconds + withinSeconds) / longer;
    }

    private double weightAbove(double seconds) {
        double position = position(seconds);
        int first = Math.min(BUCKETS - 1, (int) position);
        double above = weights[first] * Math.max(0, 1 - (position - first));
        for (int bucket = first + 1; bucket < BUCKETS; bucket++) {
            above += weights[bucket];
        }
        return above;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double weight : values) {
            sum += weight;
        }
        return sum;
    }

    private static double position(double seconds) {
        return seconds <= 1 ? 0 : BUCKETS_PER_OCTAVE * Math.log(seconds) / Math.log(2);
    }

    static int bucket(double seconds) {
        return Math.min(BUCKETS - 1, (int) position(seconds));
    }

    static double lowerSeconds(int bucket) {
        return LOWER_SECONDS[bucket];
    }

    static double middleSeconds(int bucket) {
        return MIDDLE_SECONDS[bucket];
    }
}
