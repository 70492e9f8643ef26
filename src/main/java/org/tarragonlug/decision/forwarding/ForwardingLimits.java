package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/**
 * Limits that the platform sets for the forwarding coordinator.
 *
 * @param retryWindow length of the sliding window of the retry budget
 * @param retryRatio retries allowed for each first send
 * @param retryAllowance additional retries allowed per window, summed over all instances
 * @param instances assumed number of instances that share the allowance until a count arrives
 */
public record ForwardingLimits(
        Duration retryWindow, double retryRatio, double retryAllowance, int instances) {}
