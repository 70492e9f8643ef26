package org.tarragonlug.measure;

import java.util.random.RandomGenerator;

/**
 * Probabilities and durations of the faults that a simulated run injects. Probabilities range from
 * 0 to 1.
 *
 * @param silentProbability share of attempts whose connection is silent from the start
 * @param brokenProbability share of attempts whose connection breaks
 * @param tokenLossProbability share of tokens that never arrive
 * @param loadFailureProbability share of loads that fail
 * @param claimUnavailableProbability share of claim writes that fail because the object API is down
 * @param claimUnknownProbability share of claim writes whose outcome stays unknown
 * @param maximumDelayMillis upper bound of the random extra delay of claim writes, cancellations
 *     and the end of broken connections
 * @param loadMillis time to load an artifact
 * @param restartMillis time from the crash of a server process until it runs again
 * @param restartsEmpty whether a restarted process has no artifacts loaded
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
    /** No random faults; only explicitly injected ones. Loads take 2 s and restarts 3 s. */
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
