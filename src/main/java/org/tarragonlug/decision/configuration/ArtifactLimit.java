package org.tarragonlug.decision.configuration;

import java.util.Optional;
import org.tarragonlug.id.ArtifactId;

/**
 * Limits that a pool sets for one model or adapter.
 *
 * @param artifact the model or adapter
 * @param baseModel the model that the adapter applies to; empty for a model
 * @param memoryBytes accelerator memory that one replica occupies on a server, in bytes
 * @param minimumReplicas number of replicas that are kept ready at all times
 * @param maximumReplicas maximum number of replicas that may be decided; at least one
 */
public record ArtifactLimit(
        ArtifactId artifact,
        Optional<ArtifactId> baseModel,
        long memoryBytes,
        int minimumReplicas,
        int maximumReplicas) {
    /** Returns whether this entry describes an adapter. */
    public boolean isAdapter() {
        return baseModel.isPresent();
    }
}
