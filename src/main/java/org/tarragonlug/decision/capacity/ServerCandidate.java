package org.tarragonlug.decision.capacity;

import java.util.List;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A server on which a replica may be placed.
 *
 * @param server the server
 * @param failureDomain failure domain of the server
 * @param freeBytes memory that can be reserved, bytes
 * @param tier tier of the cache that holds the checkpoint of the artifact to place
 * @param loadsInProgress number of loads already ordered on the server
 * @param queued number of requests queued on the server
 * @param holdsBaseModel whether the base model of the adapter to place is loaded or loading on the
 *     server
 * @param holdsReplica whether the server already holds a replica of the artifact to place
 * @param idle artifacts without requests in progress that may be unloaded
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
     * @param memoryBytes memory that an unload frees, bytes
     * @param expectedBenefit weighted cold-start wait per second that is expected to be saved by
     *     keeping the artifact loaded
     */
    public record IdleArtifact(ArtifactId artifact, long memoryBytes, double expectedBenefit) {}
}
