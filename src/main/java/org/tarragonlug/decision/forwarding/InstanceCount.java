package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import org.tarragonlug.decision.quota.InstanceTotal;

/**
 * The number of instances that share a limit.
 *
 * <p>The planner counts the instances that report to it, and announces the count to all instances.
 * The count drops when a network partition separates instances from the planner, although the
 * separated instances keep serving. Therefore the largest count of the last {@link
 * InstanceTotal#RETENTION} applies, whatever was heard of other planners. A count that is too large
 * leaves part of the limit unused, while one that is too small lets the instances exceed the limit.
 */
final class InstanceCount {
    private final int assumed;
    private final InstanceTotal total = new InstanceTotal();

    /**
     * Creates a count from an assumption.
     *
     * @param assumed number of instances to assume until the first count arrives
     */
    InstanceCount(int assumed) {
        this.assumed = Math.max(1, assumed);
    }

    /** Applies a new count unless a larger one is still valid. */
    void update(int instances, Instant now) {
        total.onCounted(Math.max(1, instances), true, now);
    }

    /** Returns the number of instances that share the limit, including this one; at least 1. */
    int current() {
        return total.current() == 0 ? assumed : total.current();
    }
}
