package org.tarragonlug.decision.configuration;

import java.util.List;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ServerGroup;

/**
 * One row of the table of pools: which models and adapters may be made ready, within what limits.
 *
 * @param name unique name
 * @param group the backend servers it uses
 * @param artifacts limits by model and adapter
 * @param coldStartWeight how many idle accelerator seconds one second of a caller's cold-start wait
 *     is worth
 * @param standbySlots slots set aside for cold starts during an outage of the object API
 * @param queueLimit most requests waiting for one artifact at one entry instance
 */
public record Pool(
        PoolName name,
        ServerGroup group,
        List<ArtifactLimit> artifacts,
        double coldStartWeight,
        int standbySlots,
        int queueLimit) {
    public Pool {
        artifacts = List.copyOf(artifacts);
    }
}
