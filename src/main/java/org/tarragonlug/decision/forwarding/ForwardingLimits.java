package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/**
 * Limits that the platform sets for the forwarding coordinator.
 *
 * @param retryWindow length of the sliding window of the retry budget
 * @param retryRatio retries allowed for each first send
 * @param retryAllowance additional retries allowed per window, summed over all instances
 * @param instances assumed number of instances that share the allowance until a count arrives
 * @param configurationDelay how long after the write of a configuration the previous one may apply
 */
public record ForwardingLimits(
        Duration retryWindow,
        double retryRatio,
        double retryAllowance,
        int instances,
        Duration configurationDelay) {
    /** Delay on platforms that state none. */
    public static final Duration DEFAULT_CONFIGURATION_DELAY = Duration.ofSeconds(3);

    /** Creates limits with the default delay of configurations. */
    public ForwardingLimits(
            Duration retryWindow, double retryRatio, double retryAllowance, int instances) {
        this(retryWindow, retryRatio, retryAllowance, instances, DEFAULT_CONFIGURATION_DELAY);
    }
}
