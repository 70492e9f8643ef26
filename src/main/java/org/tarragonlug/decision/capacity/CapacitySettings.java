package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;

/**
 * The settings of a capacity planner, derived from the settings of its process.
 *
 * @param group the server group that the planner plans for
 * @param process id of the process; it changes with each restart
 * @param adapterLoadsInFlight maximum number of adapter loads in flight at this planner: its share
 *     of the load that the weight store can bear
 * @param requestsPerReplica number of requests that one replica is expected to process at the same
 *     time
 */
public record CapacitySettings(
        ServerGroup group, ProcessId process, int adapterLoadsInFlight, int requestsPerReplica) {}
