package org.tarragonlug.decision.request;

/** Exponentially decaying average and deviation; the first samples count equally. */
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

    /** Returns a value that few samples exceed: the average plus twice the deviation. */
    double upperEstimate() {
        return value + 2 * Math.sqrt(variance);
    }

    double valueOr(double fallback) {
        return samples == 0 ? fallback : value;
    }
}
