package org.tarragonlug.measure;

import org.HdrHistogram.Histogram;

/** Waits, loads and idle time of one keep-warm policy on the measured day. */
final class KeepWarmResult {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Waits of the requests whose model was not loaded or still loading, milliseconds. */
    final Histogram coldStartWaits = new Histogram(SIGNIFICANT_DIGITS);

    /** Waits of all requests, milliseconds. */
    final Histogram allWaits = new Histogram(SIGNIFICANT_DIGITS);

    /** Loads that at least one request waited for. */
    int coldStarts;

    /** Loads ordered by prewarming. */
    int prewarmed;

    /** Loads from the weight store. */
    int remoteLoads;

    /**
     * Accelerator hours in which a model reserved memory and ran no request, in proportion to the
     * model's share of the accelerator's memory.
     */
    double idleHours;

    /** Returns a percentile of a histogram of milliseconds, in seconds; 0 if it is empty. */
    static double seconds(Histogram histogram, double percentile) {
        if (histogram.getTotalCount() == 0) {
            return 0;
        }
        return histogram.getValueAtPercentile(percentile) / MILLIS_PER_SECOND;
    }
}
