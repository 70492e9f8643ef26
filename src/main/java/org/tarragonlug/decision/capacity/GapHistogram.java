package org.tarragonlug.decision.capacity;

/**
 * Exponentially decayed histogram of the gaps between arrivals, in logarithmic buckets.
 *
 * <p>Four buckets per octave from one second to beyond two weeks. A gap counts as the geometric
 * middle of its bucket, which is at most 9% off. Decay is by time with a half-life of two weeks,
 * and is applied forward: later gaps get a larger weight in place of shrinking all earlier ones.
 *
 * <p>Each bucket also holds how many callers arrived after its gaps, because all callers of a burst
 * wait for the same cold start: a class that returns after ten minutes is worth more than a single
 * question after two.
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
     * @param weights weight of each bucket at the origin; copied
     * @param callers weight of the callers after the gaps of each bucket at the origin; copied
     * @param originSeconds time at which a gap has weight one, seconds of the epoch
     */
    GapHistogram(double[] weights, double[] callers, double originSeconds) {
        this.weights = weights.clone();
        this.callers = callers.clone();
        this.originSeconds = originSeconds;
    }

    /** Returns the weights as of a time. */
    double[] weightsAt(double nowSeconds) {
        rescale(nowSeconds);
        return weights.clone();
    }

    /** Returns the weights of the callers as of a time. */
    double[] callersAt(double nowSeconds) {
        rescale(nowSeconds);
        return callers.clone();
    }

    /** Records that arrivals were {@code gapSeconds} apart. */
    void add(double gapSeconds, double nowSeconds) {
        double weight = weight(nowSeconds);
        weights[bucket(gapSeconds)] += weight;
    }

    /** Records callers that would have waited if the artifact had been unloaded in a gap. */
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

    /** Returns the decayed number of gaps as of a time. */
    double total(double nowSeconds) {
        return sum(weights) * Math.pow(2, (originSeconds - nowSeconds) / HALF_LIFE_SECONDS);
    }

    /**
     * Returns when in a gap the artifact is best kept loaded.
     *
     * @param cost idle seconds that one caller's wait for a cold start is worth
     * @param reloadCost idle seconds that loading again is worth; may be infinite
     */
    GapPlan plan(double cost, double reloadCost) {
        return new GapPlan(weights, callers, cost, reloadCost);
    }

    /**
     * Returns the probability that an arrival comes within a time, given the time without one so
     * far.
     *
     * @param idleSeconds time since the last arrival
     * @param withinSeconds length of the time ahead
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
