package org.tarragonlug.decision.configuration;

import java.util.List;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ServerGroup;

/**
 * One row of the table of pools: the models and adapters that may be made ready and their limits.
 *
 * @param name unique name
 * @param group the group of backend servers that the pool uses
 * @param artifacts limits of each model and adapter
 * @param coldStartWeight cost of one second of a caller's cold-start wait, in seconds of idle
 *     accelerator time
 * @param standbySlots number of slots reserved for cold starts during an outage of the object API
 * @param queueLimit maximum number of requests that wait for one artifact at one entry instance
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
