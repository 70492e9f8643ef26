package org.tarragonlug.measure;

import java.time.Duration;

/**
 * A load on accounts with quotas, and what happens to the instances meanwhile.
 *
 * @param instances number of instances
 * @param arrivals how requests are spread over the instances
 * @param use mean load of each account, as a fraction of its rate
 * @param faults what happens to instances and messages
 * @param slack slack of the platform's tolerance, in tokens
 * @param length length of the run
 */
record QuotaScenario(
        int instances,
        Arrivals arrivals,
        double use,
        Faults faults,
        double slack,
        Duration length) {
    /** How requests are spread over the instances. */
    enum Arrivals {
        /** Each request arrives at any instance. */
        EVEN,
        /** Half of an account's requests arrive at one instance. */
        HALF_AT_ONE,
        /** Half of an account's requests arrive at one instance, another one every 5 s. */
        MOVING,
        /** Each request arrives at any instance; none for 8 s, then twice as many for 8 s. */
        BURSTS
    }

    /** What happens to instances and messages. */
    enum Faults {
        /** Messages take 0.3 to 3 ms, and nothing else happens. */
        NONE,
        /** A fifth of the instances ends at once and starts 2 s later. */
        RESTART,
        /** The planner ends, every 12 s. */
        PLANNER_LOST,
        /** The instances are divided in two for most of the run. */
        PARTITION,
        /** Losses, delays, partitions, pauses, restarts and new quotas, by chance. */
        ALL
    }
}
