package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * What a model engine last said about itself.
 *
 * @param server the server
 * @param incarnation changes when the engine restarts
 * @param leaving whether the server is about to stop
 * @param memoryBytes accelerator memory for artifacts, bytes
 * @param loaded artifacts ready to serve, with the bytes each occupies
 * @param loading artifacts being loaded, with the bytes each will occupy
 * @param cached where checkpoints are cached; absent means {@link CacheTier#REMOTE}
 * @param inProgress artifacts with requests in progress
 * @param running requests running
 * @param queued requests queued in the engine
 * @param receivedAt when the report arrived
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

    /** Returns where the checkpoint of an artifact is cached on this server. */
    public CacheTier tier(ArtifactId artifact) {
        return cached.getOrDefault(artifact, CacheTier.REMOTE);
    }
}
