package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * A status report of a model engine.
 *
 * @param server the server
 * @param incarnation identifies the run of the engine; changes when the engine restarts
 * @param leaving whether the server is about to stop
 * @param memoryBytes accelerator memory available for artifacts, bytes
 * @param loaded artifacts ready to serve, with the memory each occupies, bytes
 * @param loading artifacts being loaded, with the memory each will occupy, bytes
 * @param cached cache tier of each cached checkpoint; an absent artifact means {@link
 *     CacheTier#REMOTE}
 * @param inProgress artifacts with requests in progress
 * @param running number of running requests
 * @param queued number of requests queued in the engine
 * @param receivedAt time at which the report arrived
 */
public record ServerReport(
        ServerId server,
        String incarnation,
        boolean leaving,
        long memoryBytes,
        Map<ArtifactId, Long> loaded,
        Map<ArtifactId, Long> loading,
        Map<ArtifactId, CacheTier> cached,
        Set<ArtifactId> inProgress,
        int running,
        int queued,
        Instant receivedAt) {
    public ServerReport {
        loaded = Map.copyOf(loaded);
        loading = Map.copyOf(loading);
        cached = Map.copyOf(cached);
        inProgress = Set.copyOf(inProgress);
    }

    /** Returns the tier of the cache that holds the checkpoint of an artifact on this server. */
    public CacheTier tier(ArtifactId artifact) {
        return cached.getOrDefault(artifact, CacheTier.REMOTE);
    }
}
