package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * The number of instances that share a limit.
 *
 * <p>The planner counts the instances that report to it, and announces the count to all instances.
 * The count drops when a network partition separates instances from the planner, although the
 * separated instances keep serving. Therefore the largest count of the last {@link #RETENTION}
 * applies. A count that is too large leaves part of the limit unused, while one that is too small
 * lets the instances exceed the limit.
 */
final class InstanceCount {
    /** How long a larger count takes precedence over later, smaller counts. */
    private static final Duration RETENTION = Duration.ofSeconds(20);

    private int largest;
    private Instant largestAt = Instant.EPOCH;

    /**
     * Creates a count from an assumption.
     *
     * @param assumed number of instances to assume until the first count arrives
     */
    InstanceCount(int assumed) {
        this.largest = Math.max(1, assumed);
    }

    /** Applies a new count unless a larger one is still valid. */
    void update(int instances, Instant now) {
        boolean first = largestAt.equals(Instant.EPOCH);
        if (first || instances >= largest || now.isAfter(largestAt.plus(RETENTION))) {
            largest = Math.max(1, instances);
            largestAt = now;
        }
    }

    /** Returns the number of instances that share the limit, including this one; at least 1. */
    int current() {
        return largest;
    }
}
