package org.tarragonlug.measure;

import java.util.random.RandomGenerator;

/**
 * How likely and how long the faults of a simulated run are.
 *
 * @param silentProbability share of attempts whose connection is silent from the start
 * @param brokenProbability share of attempts whose connection breaks
 * @param tokenLossProbability share of tokens that never arrive
 * @param loadFailureProbability share of loads that fail
 * @param claimUnavailableProbability share of claim writes that find the object API down
 * @param claimUnknownProbability share of claim writes of unknown outcome
 * @param maximumDelayMillis longest extra delay of claims, cancellations and late tokens
 * @param loadMillis time to load an artifact
 * @param restartMillis time until a lost process is back
 * @param restartsEmpty whether it comes back empty
 */
public record RequestFaults(
        double silentProbability,
        double brokenProbability,
        double tokenLossProbability,
        double loadFailureProbability,
        double claimUnavailableProbability,
        double claimUnknownProbability,
        double maximumDelayMillis,
        long loadMillis,
        long restartMillis,
        boolean restartsEmpty) {
    /** No faults but those that are caused one by one. */
    public static final RequestFaults NONE =
            new RequestFaults(0, 0, 0, 0, 0, 0, 0, 2_000, 3_000, false);

    double cancelDelayMillis(RandomGenerator random) {
        return random.nextDouble() * maximumDelayMillis;
    }

    double claimDelayMillis(RandomGenerator random) {
        return random.nextDouble() * maximumDelayMillis;
    }

    double disconnectDelayMillis(RandomGenerator random) {
        return random.nextDouble() * maximumDelayMillis;
    }
}
