package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * The number of instances that share a limit, as last counted.
 *
 * <p>A count falls when instances are cut off from the one that counts, though they go on serving.
 * So the largest count of the last {@link #RETENTION} holds: too large a count leaves a part of the
 * limit unused, too small a one exceeds it.
 */
final class InstanceCount {
    /** How long a larger count outlives a smaller one. */
    private static final Duration RETENTION = Duration.ofSeconds(20);

    private int largest;
    private Instant largestAt = Instant.EPOCH;

    /**
     * Creates a count.
     *
     * @param assumed the number of instances while none was counted
     */
    InstanceCount(int assumed) {
        this.largest = Math.max(1, assumed);
    }

    /** Instances were counted. */
    void update(int instances, Instant now) {
        boolean first = largestAt.equals(Instant.EPOCH);
        if (first || instances >= largest || now.isAfter(largestAt.plus(RETENTION))) {
            largest = Math.max(1, instances);
            largestAt = now;
        }
    }

    /** Returns the number of instances to share a limit with, this one included. */
    int current() {
        return largest;
    }
}
