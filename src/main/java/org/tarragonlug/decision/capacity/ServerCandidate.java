package org.tarragonlug.decision.capacity;

import java.util.List;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A server as placement sees it.
 *
 * @param server the server
 * @param failureDomain where it stands
 * @param freeBytes memory not reserved, bytes
 * @param tier where the checkpoint of the wanted artifact is cached on it
 * @param loadsInProgress loads already ordered on it
 * @param queued requests queued on it
 * @param holdsBaseModel whether the base model of a wanted adapter is loaded or loading on it
 * @param holdsReplica whether it holds a replica of the wanted artifact already
 * @param idle artifacts without requests in progress that may be unloaded, with their value
 */
public record ServerCandidate(
        ServerId server,
        FailureDomain failureDomain,
        long freeBytes,
        CacheTier tier,
        int loadsInProgress,
        int queued,
        boolean holdsBaseModel,
        boolean holdsReplica,
        List<IdleArtifact> idle) {
    public ServerCandidate {
        idle = List.copyOf(idle);
    }

    /**
     * An idle artifact that may be unloaded.
     *
     * @param artifact the artifact
     * @param memoryBytes memory an unload frees, bytes
     * @param expectedBenefit expected cold-start wait saved by keeping it, weighted; per second
     */
    public record IdleArtifact(ArtifactId artifact, long memoryBytes, double expectedBenefit) {}
}
