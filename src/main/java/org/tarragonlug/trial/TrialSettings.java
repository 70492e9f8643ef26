package org.tarragonlug.trial;

import org.tarragonlug.standin.Deployment;

/**
 * What a trial does.
 *
 * @param deployment whose sizes and tables are used
 * @param instances number of entry instances
 * @param seconds length of the stream of ordinary requests
 * @param requestsPerSecond rate of that stream, over all instances
 * @param seed seeds all random choices of the load and of the faults
 * @param faults whether faults are provoked during the stream
 */
public record TrialSettings(
        Deployment deployment,
        int instances,
        int seconds,
        int requestsPerSecond,
        long seed,
        boolean faults) {}
