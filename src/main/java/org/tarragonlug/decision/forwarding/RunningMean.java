package org.tarragonlug.decision.forwarding;

/**
 * The running mean and variance of values. Each of the first values has the same weight; once
 * enough have been added, a new one has a constant weight, so that old ones are forgotten.
 */
final class RunningMean {
    private final double minWeight;
    private int count;
    private double mean;
    private double variance;

    /**
     * Creates a mean of no values.
     *
     * @param minWeight weight of a new value once enough have been added, above 0 and up to 1
     */
    RunningMean(double minWeight) {
        this.minWeight = minWeight;
    }

    /** Adds a value; returns its difference from the mean before. */
    double add(double value) {
        count++;
        double weight = Math.max(minWeight, 1.0 / count);
        double difference = value - mean;
        mean += weight * difference;
        if (count > 1) {
            variance = (1 - weight) * (variance + weight * difference * difference);
        }
        return difference;
    }

    /** Returns how many values have been added. */
    int count() {
        return count;
    }

    /** Returns the mean; 0 if no value has been added. */
    double mean() {
        return mean;
    }

    /** Returns the variance around the mean; 0 with fewer than two values. */
    double variance() {
        return variance;
    }
}
