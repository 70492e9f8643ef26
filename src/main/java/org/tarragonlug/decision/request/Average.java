package org.tarragonlug.decision.request;

/**
 * Exponentially weighted moving average with standard deviation. The first samples have equal
 * weights.
 */
final class Average {
    private final double weight;
    private double value;
    private double variance;
    private int samples;

    Average(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        samples = Math.min(samples + 1, 1_000_000);
        double share = Math.max(weight, 1.0 / samples);
        double difference = sample - value;
        value += difference * share;
        variance = (1 - share) * (variance + share * difference * difference);
    }

    boolean isEmpty() {
        return samples == 0;
    }

    double value() {
        return value;
    }

    /** Returns the average plus two standard deviations, which few samples exceed. */
    double upperEstimate() {
        return value + 2 * Math.sqrt(variance);
    }

    double valueOr(double fallback) {
        return samples == 0 ? fallback : value;
    }
}
