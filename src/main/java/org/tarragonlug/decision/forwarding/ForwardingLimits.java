package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/**
 * Limits of the coordinator that the platform sets.
 *
 * @param retryWindow length of the window of the retry budget
 * @param retryRatio repeats for each first send
 * @param retryAllowance repeats besides, over all instances
 * @param instances how many instances share the allowance until they are counted
 */
public record ForwardingLimits(
        Duration retryWindow, double retryRatio, double retryAllowance, int instances) {}
