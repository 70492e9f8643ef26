package org.tarragonlug.decision.configuration;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;

/**
 * The accepted tables of one version. Immutable: a request keeps using the tables that it was
 * matched against.
 *
 * @param version increases with each accepted change
 * @param routes the table of routes
 * @param pools the table of pools
 */
public record Configuration(ConfigurationVersion version, List<Route> routes, List<Pool> pools) {
    /** The configuration of a process that has not received one yet. */
    public static final Configuration EMPTY =
            new Configuration(ConfigurationVersion.NONE, List.of(), List.of());

    public Configuration {
        routes = List.copyOf(routes);
        pools = List.copyOf(pools);
    }

    /** Finds a pool by name; empty if no row has this name. */
    public Optional<Pool> pool(PoolName name) {
        return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
    }

    /**
     * Finds the limits of an artifact in a pool; empty if the pool or the artifact is not listed.
     */
    public Optional<ArtifactLimit> limit(PoolName name, ArtifactId artifact) {
        return pool(name).stream()
                .flatMap(pool -> pool.artifacts().stream())
                .filter(limit -> limit.artifact().equals(artifact))
                .findFirst();
    }
}
