package org.tarragonlug.trial;

import org.tarragonlug.standin.Deployment;

/**
 * Settings of a trial.
 *
 * @param deployment the deployment whose sizes and tables are used
 * @param instances number of entry instances
 * @param seconds length of the request stream in seconds
 * @param requestsPerSecond rate of the stream over all instances
 * @param seed seed of all random choices of the load and of the faults
 * @param faults whether faults are injected during the stream
 */
public record TrialSettings(
        Deployment deployment,
        int instances,
        int seconds,
        int requestsPerSecond,
        long seed,
        boolean faults) {}
