package org.tarragonlug.decision.request;

/** Exponentially decaying average; the first samples count equally. */
final class Average {
    private final double weight;
    private double value;
    private int samples;

    Average(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        samples = Math.min(samples + 1, 1_000_000);
        value += (sample - value) * Math.max(weight, 1.0 / samples);
    }

    boolean isEmpty() {
        return samples == 0;
    }

    double value() {
        return value;
    }

    double valueOr(double fallback) {
        return samples == 0 ? fallback : value;
    }
}
