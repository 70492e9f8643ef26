package org.tarragonlug.decision.capacity;

import java.time.Duration;
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
 * @param loadFromMemory expected load time from the memory of the host
 * @param loadFromDisk expected load time from local disk
 * @param loadFromRemote expected load time from the weight store
 */
public record CapacitySettings(
        ServerGroup group,
        ProcessId process,
        int adapterLoadsInFlight,
        int requestsPerReplica,
        Duration loadFromMemory,
        Duration loadFromDisk,
        Duration loadFromRemote) {
    /** Returns the expected load time from a cache tier. */
    public Duration expectedLoad(CacheTier tier) {
        return switch (tier) {
            case MEMORY -> loadFromMemory;
            case DISK -> loadFromDisk;
            case REMOTE -> loadFromRemote;
        };
    }
}
