package org.tarragonlug.measure;

import org.HdrHistogram.Histogram;

/** What one policy cost on the measured day. */
final class KeepWarmResult {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Waits of the requests that met an unloaded or loading model, milliseconds. */
    final Histogram coldStartWaits = new Histogram(SIGNIFICANT_DIGITS);

    /** Waits of all requests, milliseconds. */
    final Histogram allWaits = new Histogram(SIGNIFICANT_DIGITS);

    /** Loads that at least one request waited for. */
    int coldStarts;

    /** Loads ordered by prewarming. */
    int prewarmed;

    /** Loads from the weight store. */
    int remoteLoads;

    /** Accelerator hours in which memory was reserved and no request ran, by share of memory. */
    double idleHours;

    /** Returns a percentile of a histogram in seconds. */
    static double seconds(Histogram histogram, double percentile) {
        if (histogram.getTotalCount() == 0) {
            return 0;
        }
        return histogram.getValueAtPercentile(percentile) / MILLIS_PER_SECOND;
    }
}
