package org.tarragonlug.decision.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.PoolName;

/** Checks the rows of the table of routes, and that they fit the pools. */
final class RouteChecker {
    private final List<Route> routes;
    private final Map<PoolName, Pool> pools = new HashMap<>();
    private final FaultList faults;

    RouteChecker(List<Route> routes, List<Pool> pools, FaultList faults) {
        this.routes = routes;
        this.faults = faults;
        pools.forEach(pool -> this.pools.putIfAbsent(pool.name(), pool));
    }

    void check() {
        TableChecker.checkUnique(
                "routes", routes.stream().map(route -> route.name().value()).toList(), faults);
        Map<MatchCriteria, String> matches = new HashMap<>();
        for (int index = 0; index < routes.size(); index++) {
            String path = "$.routes[" + index + "]";
            Route route = routes.get(index);
            checkMatch(path, route);
            checkLimits(path, route);
            checkTarget(path, route);
            checkVersions(path, route);
            String earlierPath = matches.putIfAbsent(MatchCriteria.of(route), path);
            if (earlierPath != null) {
                faults.add(
                        path,
                        "unreachable: " + earlierPath + " matches the same requests",
                        "remove one of the two or change pathPrefix, models or headers");
            }
        }
    }

    private void checkMatch(String path, Route route) {
        faults.require(
                route.pathPrefix().startsWith("/"),
                path + ".pathPrefix",
                "'" + route.pathPrefix() + "'",
                "start the path with a slash");
        for (String header : route.headers().keySet()) {
            faults.require(
                    header.equals(header.toLowerCase(Locale.ROOT)),
                    path + ".headers",
                    "'" + header + "'",
                    "write header names in lower case");
        }
    }

    private void checkLimits(String path, Route route) {
        faults.require(
                !route.defaultTimeout().isNegative() && !route.defaultTimeout().isZero(),
                path + ".defaultTimeout",
                route.defaultTimeout(),
                "use a time above 0");
        faults.require(
                route.defaultTimeout().compareTo(route.maximumTimeout()) <= 0,
                path + ".maximumTimeout",
                route.maximumTimeout() + " with defaultTimeout " + route.defaultTimeout(),
                "use at least defaultTimeout");
        faults.require(route.share() >= 1, path + ".share", route.share(), "use at least 1");
        faults.require(
                route.requestsPerSecond() > 0 && Double.isFinite(route.requestsPerSecond()),
                path + ".requestsPerSecond",
                route.requestsPerSecond(),
                "use a number above 0");
        faults.require(
                route.maximumBodyBytes() >= 1,
                path + ".maximumBodyBytes",
                route.maximumBodyBytes(),
                "use at least 1");
    }

    private void checkTarget(String path, Route route) {
        boolean toPool = route.target() == RouteTarget.POOL;
        faults.require(
                route.pool().isPresent() == toPool && route.service().isPresent() != toPool,
                path,
                "target "
                        + route.target()
                        + " with pool "
                        + route.pool().map(PoolName::value).orElse("none")
                        + " and service "
                        + route.service().map(Object::toString).orElse("none"),
                "name either a pool or a service");
        if (!toPool || route.pool().isEmpty()) {
            return;
        }
        Pool pool = pools.get(route.pool().get());
        if (pool == null) {
            faults.add(
                    path + ".pool",
                    "there is no pool '" + route.pool().get() + "'",
                    "add the pool or name one of the table of pools");
            return;
        }
        Set<String> names =
                pool.artifacts().stream()
                        .map(limit -> limit.artifact().name())
                        .collect(Collectors.toSet());
        for (int index = 0; index < route.models().size(); index++) {
            String model = route.models().get(index);
            faults.require(
                    names.contains(model),
                    path + ".models[" + index + "]",
                    "'" + model + "' is not in pool '" + pool.name() + "'",
                    "name a model or adapter of the pool, without a version");
        }
    }

    private void checkVersions(String path, Route route) {
        Map<String, Long> sums = new TreeMap<>();
        Set<ArtifactId> listedArtifacts = new HashSet<>();
        for (int index = 0; index < route.versions().size(); index++) {
            VersionWeight version = route.versions().get(index);
            String versionPath = path + ".versions[" + index + "]";
            faults.require(
                    version.weight() >= 0,
                    versionPath + ".weight",
                    version.weight(),
                    "use at least 0");
            faults.require(
                    listedArtifacts.add(version.artifact()),
                    versionPath + ".artifact",
                    "'" + version.artifact() + "' a second time",
                    "list each version once");
            checkVersionTarget(versionPath, route, version.artifact());
            sums.merge(version.artifact().name(), (long) Math.max(0, version.weight()), Long::sum);
        }
        sums.forEach(
                (name, sum) ->
                        faults.require(
                                sum > 0,
                                path + ".versions",
                                "all weights of '" + name + "' are 0",
                                "give at least one version a weight above 0"));
    }

    private void checkVersionTarget(String path, Route route, ArtifactId artifact) {
        Pool pool = route.pool().map(pools::get).orElse(null);
        if (route.target() == RouteTarget.SERVICE) {
            faults.add(
                    path,
                    "a version on a route to a plain service",
                    "remove versions or name a pool");
        } else if (pool != null) {
            faults.require(
                    pool.artifacts().stream().anyMatch(limit -> limit.artifact().equals(artifact)),
                    path + ".artifact",
                    "'" + artifact + "' is not in pool '" + pool.name() + "'",
                    "add the version to the pool or name one of it");
        }
    }

    /** What decides which requests a route matches. */
    private record MatchCriteria(String pathPrefix, Set<String> models, Map<String, String> headers) {
        static MatchCriteria of(Route route) {
            return new MatchCriteria(route.pathPrefix(), new HashSet<>(route.models()), route.headers());
        }
    }
}
