package org.tarragonlug.decision.configuration;

import java.util.Optional;
import org.tarragonlug.id.ArtifactId;

/**
 * What a pool allows for one model or adapter.
 *
 * @param artifact the model or adapter
 * @param baseModel the model an adapter applies to; empty for a model
 * @param memoryBytes accelerator memory it occupies on a server, bytes
 * @param minimumReplicas replicas kept ready at all times
 * @param maximumReplicas most replicas that may be decided, at least one
 */
public record ArtifactLimit(
        ArtifactId artifact,
        Optional<ArtifactId> baseModel,
        long memoryBytes,
        int minimumReplicas,
        int maximumReplicas) {
    /** Tells whether this is an adapter. */
    public boolean isAdapter() {
        return baseModel.isPresent();
    }
}
