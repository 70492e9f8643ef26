package org.tarragonlug.decision.configuration;

import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;

/**
 * The rows that differ between two versions of the configuration.
 *
 * @param from the version that the delta applies to
 * @param to the version that results
 * @param routes added or changed routes
 * @param removedRoutes names of removed routes
 * @param pools added or changed pools
 * @param removedPools names of removed pools
 * @param digest {@link ConfigurationDigest} of the complete content of version {@code to}
 */
public record ConfigurationDelta(
        ConfigurationVersion from,
        ConfigurationVersion to,
        List<Route> routes,
        List<RouteName> removedRoutes,
        List<Pool> pools,
        List<PoolName> removedPools,
        long digest) {
    public ConfigurationDelta {
        routes = List.copyOf(routes);
        removedRoutes = List.copyOf(removedRoutes);
        pools = List.copyOf(pools);
        removedPools = List.copyOf(removedPools);
    }
}
