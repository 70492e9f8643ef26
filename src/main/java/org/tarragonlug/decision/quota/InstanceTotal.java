package org.tarragonlug.decision.quota;

import java.time.Duration;
import java.time.Instant;

/**
 * The number of instances among which an allowance is divided.
 *
 * <p>A number that is too large leaves allowance unused, while one that is too small lets instances
 * that are separated from each other exceed it together. So the number grows at once and shrinks
 * only when two things have held for {@link #RETENTION}: fewer instances report, and every holder
 * of a lease that allows planning was heard. While instances are cut off from each other, each side
 * that has a planner renews such a lease, so neither side takes the other one for ended. A process
 * that has not learnt the number takes its own count only under the second condition.
 *
 * <p>The count that limits retries shrinks by time alone, which is not enough here, because a quota
 * must hold in a partition of any length.
 */
public final class InstanceTotal {
    /** How long a larger number takes precedence over later, smaller counts. */
    public static final Duration RETENTION = Duration.ofSeconds(20);

    /**
     * How long after a count of its own an instance does not take an announced number, which may be
     * its own, for a confirmation.
     */
    private static final Duration COUNT_VALIDITY = Duration.ofSeconds(2);

    private int total;
    private Instant confirmedAt = Instant.MIN;
    private Instant countedAt = Instant.MIN;

    /** Returns the number of instances, including this one; 0 if it is not known. */
    public int current() {
        return total;
    }

    /** Takes over the number that the present planner announces; 0 counts as not known. */
    public void onAnnounced(int instances, Instant now) {
        boolean outdated = now.isAfter(confirmedAt.plus(RETENTION));
        boolean confirmed = instances == total && !now.isBefore(countedAt.plus(COUNT_VALIDITY));
        if (instances > total || confirmed || outdated && instances > 0) {
            total = instances;
            confirmedAt = now;
        }
    }

    /**
     * Applies the count of the instances that report to this one, which plans.
     *
     * @param instances number of instances that report, including this one
     * @param complete whether all holders of leases that allow planning were heard recently
     */
    public void onCounted(int instances, boolean complete, Instant now) {
        countedAt = now;
        if (instances >= total && (total > 0 || complete)) {
            total = instances;
            confirmedAt = now;
        } else if (!complete) {
            confirmedAt = now;
        } else if (total > 0 && now.isAfter(confirmedAt.plus(RETENTION))) {
            total = instances;
            confirmedAt = now;
        }
    }
}
