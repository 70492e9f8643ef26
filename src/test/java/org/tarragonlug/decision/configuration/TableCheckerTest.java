package org.tarragonlug.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerGroup;

class TableCheckerTest {
    private final List<Route> routes = new ArrayList<>();
    private final List<Pool> pools = new ArrayList<>();

    TableCheckerTest() {
        Configuration valid = ConfigurationSamples.configuration(1, 2);
        routes.addAll(valid.routes());
        pools.addAll(valid.pools());
    }

    private List<String> faultPaths(Map<ServerGroup, Long> memory) {
        List<TableFault> faults = TableChecker.check(routes, pools, memory);
        assertTrue(faults.stream().noneMatch(fault -> fault.remedy().isEmpty()));
        return faults.stream().map(TableFault::path).toList();
    }

    private static ArtifactLimit limit(String artifact, String base, long bytes) {
        return new ArtifactLimit(
                ArtifactId.parse(artifact),
                Optional.ofNullable(base).map(ArtifactId::parse),
                bytes,
                0,
                1);
    }

    private static Route routeWithWeights(int... weights) {
        Route route = ConfigurationSamples.route("weighted", "pool-a", "model-0");
        List<VersionWeight> versions = new ArrayList<>();
        for (int weight : weights) {
            versions.add(new VersionWeight(ArtifactId.parse("model-0@1"), weight));
        }
        return new Route(
                route.name(),
                route.pathPrefix(),
                route.models(),
                route.headers(),
                route.target(),
                route.pool(),
                route.service(),
                versions,
                route.idempotent(),
                route.keyRequired(),
                route.priority(),
                route.defaultTimeout(),
                route.maximumTimeout(),
                route.share(),
                route.requestsPerSecond(),
                route.maximumBodyBytes());
    }

    /** Guards against a check that refuses valid tables. */
    @Test
    void reportsNoFaultForValidTables() {
        routes.add(routeWithWeights(1));
        assertEquals(List.of(), faultPaths(Map.of(new ServerGroup("tutoring"), 1000L)));
    }

    /** Guards against routes to nowhere. */
    @Test
    void reportsRouteToMissingPool() {
        routes.add(ConfigurationSamples.route("lost", "no-such-pool"));
        assertEquals(List.of("$.routes[2].pool"), faultPaths(Map.of()));
    }

    /** Guards against two rows of one name, of which one would silently win. */
    @Test
    void reportsDuplicateNames() {
        routes.add(routes.get(0));
        pools.add(ConfigurationSamples.pool("pool-a", List.of(limit("other", null, 1))));
        assertEquals(
                List.of("$.pools[1].name", "$.routes[2].name", "$.routes[2]"), faultPaths(Map.of()));
    }

    /** Guards against adapters that no server could ever load. */
    @Test
    void reportsAdapterWhoseBaseIsMissingOrAnAdapter() {
        pools.add(
                ConfigurationSamples.pool(
                        "pool-b",
                        List.of(limit("adapter", "absent@1", 5), limit("chain", "adapter@1", 5))));
        assertEquals(
                List.of("$.pools[1].artifacts[0].baseModel", "$.pools[1].artifacts[1].baseModel"),
                faultPaths(Map.of()));
    }

    /** Guards against a pool on servers that cannot hold any of its models. */
    @Test
    void reportsPoolWhoseModelsExceedServerMemory() {
        assertEquals(
                List.of("$.pools[0].artifacts"), faultPaths(Map.of(new ServerGroup("tutoring"), 999L)));
    }

    /** Guards against two limits for one artifact on the same servers. */
    @Test
    void reportsArtifactInTwoPoolsOfOneGroup() {
        pools.add(ConfigurationSamples.pool("pool-b", List.of(limit("model-0@1", null, 1000))));
        assertEquals(List.of("$.pools[1].artifacts[0].artifact"), faultPaths(Map.of()));
    }

    /** Guards against a route whose requests could go to no version. */
    @Test
    void reportsArtifactWhoseWeightsAreAllZero() {
        routes.add(routeWithWeights(0));
        assertEquals(List.of("$.routes[2].versions"), faultPaths(Map.of()));
    }

    /** Guards against a route that an equal one shadows. */
    @Test
    void reportsRouteShadowedByEarlierEqualRoute() {
        Route first = ConfigurationSamples.route("same", "pool-a", "model-0");
        routes.add(first);
        Route second = routeWithWeights(1);
        routes.add(
                new Route(
                        second.name(),
                        first.pathPrefix(),
                        first.models(),
                        first.headers(),
                        second.target(),
                        second.pool(),
                        second.service(),
                        second.versions(),
                        second.idempotent(),
                        second.keyRequired(),
                        second.priority(),
                        second.defaultTimeout(),
                        second.maximumTimeout(),
                        second.share(),
                        second.requestsPerSecond(),
                        second.maximumBodyBytes()));
        assertEquals(List.of("$.routes[3]"), faultPaths(Map.of()));
    }
}
