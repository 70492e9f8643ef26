package org.tarragonlug.measure;

import java.util.random.RandomGenerator;

/**
 * How likely and how long the faults of a simulated run are.
 *
 * @param silent share of attempts whose connection is silent from the start
 * @param broken share of attempts whose connection breaks
 * @param tokenLost share of tokens that never arrive
 * @param loadFailure share of loads that fail
 * @param claimUnavailable share of claim writes that find the object API down
 * @param claimUnknown share of claim writes of unknown outcome
 * @param largestDelayMillis longest extra delay of claims, cancellations and late tokens
 * @param loadMillis time to load an artifact
 * @param restartMillis time until a lost process is back
 * @param losesLoaded whether it comes back empty
 */
public record RequestFaults(
        double silent,
        double broken,
        double tokenLost,
        double loadFailure,
        double claimUnavailable,
        double claimUnknown,
        double largestDelayMillis,
        long loadMillis,
        long restartMillis,
        boolean losesLoaded) {
    /** No faults but those that are caused one by one. */
    public static final RequestFaults NONE =
            new RequestFaults(0, 0, 0, 0, 0, 0, 0, 2_000, 3_000, false);

    double cancelMillis(RandomGenerator random) {
        return random.nextDouble() * largestDelayMillis;
    }

    double claimMillis(RandomGenerator random) {
        return random.nextDouble() * largestDelayMillis;
    }

    double lateMillis(RandomGenerator random) {
        return random.nextDouble() * largestDelayMillis;
    }
}
