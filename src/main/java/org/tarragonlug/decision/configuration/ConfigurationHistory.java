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
 * The most recent configurations of a process. Deltas for peers are computed from them.
 *
 * <p>The history is short because configurations share their unchanged rows in memory only if each
 * was made from its predecessor by a delta. A peer with an older version gets the complete
 * configuration.
 */
final class ConfigurationHistory {
    /**
     * At 12,000 evenly spread changes a day this covers 3 minutes, far more than the 5 s within
     * which a change must reach all processes.
     */
    static final int CAPACITY = 32;

    private final TreeMap<ConfigurationVersion, Configuration> configurations = new TreeMap<>();

    void add(Configuration configuration) {
        configurations.put(configuration.version(), configuration);
        if (configurations.size() > CAPACITY) {
            configurations.pollFirstEntry();
        }
    }

    /** Computes the delta from a version; empty if the history no longer contains that version. */
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

    /** Applies a delta to the configuration that the delta starts from. */
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
