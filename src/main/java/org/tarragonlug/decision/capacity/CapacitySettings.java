package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;

/**
 * What a capacity planner learns from the settings of its process.
 *
 * @param group the server group it plans for
 * @param process this run of the process
 * @param adapterLoadsInFlight adapter loads this planner may have in flight; its share of what the
 *     weight store bears
 * @param requestsPerReplica requests that one replica is expected to work on at once
 */
public record CapacitySettings(
        ServerGroup group, ProcessId process, int adapterLoadsInFlight, int requestsPerReplica) {}
