package org.tarragonlug.decision.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ServerGroup;

/**
 * The targets and replicas known to this instance. Entries are never removed, so there are as many
 * as the configuration tables ever named.
 */
final class TargetRegistry {
    private record ArtifactKey(ServerGroup group, ArtifactId artifact) {}

    private record PoolKey(PoolName pool, ServerGroup group, ArtifactId artifact) {}

    private final Map<ArtifactKey, Replicas> replicas = new HashMap<>();
    private final Map<PoolKey, Target> artifacts = new HashMap<>();
    private final Map<ServerGroup, Target> services = new HashMap<>();

    Replicas replicas(ServerGroup group, ArtifactId artifact) {
        return replicas.computeIfAbsent(new ArtifactKey(group, artifact), key -> new Replicas());
    }

    Target artifact(PoolName pool, ServerGroup group, ArtifactId artifact) {
        return artifacts.computeIfAbsent(
                new PoolKey(pool, group, artifact),
                key -> {
                    Replicas shared = replicas(group, artifact);
                    Target target = new Target(Optional.of(pool), artifact, shared);
                    shared.targets.add(target);
                    return target;
                });
    }

    /** Returns the target of a plain service, which all servers of the group can serve. */
    Target service(ServerGroup group) {
        return services.computeIfAbsent(
                group,
                key -> {
                    Target target = new Target(Optional.empty(), null, new Replicas());
                    target.replicas.targets.add(target);
                    return target;
                });
    }
}
