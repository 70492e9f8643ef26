package org.tarragonlug.decision.configuration;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;

/**
 * The accepted tables of one version. Immutable, so that a request keeps what it was matched with.
 *
 * @param version grows with each accepted change
 * @param routes the table of routes
 * @param pools the table of pools
 */
public record Configuration(ConfigurationVersion version, List<Route> routes, List<Pool> pools) {
    /** The configuration of a process that has not yet received one. */
    public static final Configuration EMPTY =
            new Configuration(ConfigurationVersion.NONE, List.of(), List.of());

    public Configuration {
        routes = List.copyOf(routes);
        pools = List.copyOf(pools);
    }

    /** Finds a pool by name. */
    public Optional<Pool> pool(PoolName name) {
        return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
    }

    /** Finds the limits of an artifact in a pool. */
    public Optional<ArtifactLimit> limit(PoolName name, ArtifactId artifact) {
        return pool(name).stream()
                .flatMap(pool -> pool.artifacts().stream())
                .filter(limit -> limit.artifact().equals(artifact))
                .findFirst();
    }
}
