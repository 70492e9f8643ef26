package org.tarragonlug.decision.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;

/**
 * The last configurations of a process, from which changed rows are computed.
 *
 * <p>Configurations share their unchanged rows only within a delta chain, so the number kept is
 * small. A peer that is further behind gets the whole configuration.
 */
final class ConfigurationHistory {
    /** At 12,000 changes a day this covers 3 minutes of an even load, far above the 5 s bound. */
    static final int CAPACITY = 32;

    private final TreeMap<ConfigurationVersion, Configuration> configurations = new TreeMap<>();

    void add(Configuration configuration) {
        configurations.put(configuration.version(), configuration);
        if (configurations.size() > CAPACITY) {
            configurations.pollFirstEntry();
        }
    }

    /** Computes the rows changed since a version; empty if that version is no longer kept. */
    Optional<ConfigurationDelta> delta(ConfigurationVersion from, Configuration to, long digest) {
        Configuration old = configurations.get(from);
        if (old == null) {
            return Optional.empty();
        }
        Map<RouteName, Route> oldRoutes = byKey(old.routes(), Route::name);
        Map<RouteName, Route> newRoutes = byKey(to.routes(), Route::name);
        Map<PoolName, Pool> oldPools = byKey(old.pools(), Pool::name);
        Map<PoolName, Pool> newPools = byKey(to.pools(), Pool::name);
        return Optional.of(
                new ConfigurationDelta(
                        from,
                        to.version(),
                        changed(oldRoutes, newRoutes),
                        removed(oldRoutes, newRoutes),
                        changed(oldPools, newPools),
                        removed(oldPools, newPools),
                        digest));
    }

    /** Applies changed rows to the configuration that they start from. */
    static Configuration apply(Configuration base, ConfigurationDelta delta) {
        Map<RouteName, Route> routes = byKey(base.routes(), Route::name);
        delta.removedRoutes().forEach(routes::remove);
        delta.routes().forEach(route -> routes.put(route.name(), route));
        Map<PoolName, Pool> pools = byKey(base.pools(), Pool::name);
        delta.removedPools().forEach(pools::remove);
        delta.pools().forEach(pool -> pools.put(pool.name(), pool));
        return new Configuration(
                delta.to(), List.copyOf(routes.values()), List.copyOf(pools.values()));
    }

    private static <K, R> Map<K, R> byKey(Collection<R> rows, Function<R, K> key) {
        Map<K, R> map = new LinkedHashMap<>();
        for (R row : rows) {
            map.put(key.apply(row), row);
        }
        return map;
    }

    private static <K, R> List<R> changed(Map<K, R> before, Map<K, R> after) {
        List<R> rows = new ArrayList<>();
        after.forEach(
                (key, row) -> {
                    if (!row.equals(before.get(key))) {
                        rows.add(row);
                    }
                });
        return rows;
    }

    private static <K, R> List<K> removed(Map<K, R> before, Map<K, R> after) {
        return before.keySet().stream().filter(key -> !after.containsKey(key)).toList();
    }
}
