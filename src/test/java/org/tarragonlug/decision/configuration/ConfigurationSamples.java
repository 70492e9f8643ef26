package org.tarragonlug.decision.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerGroup;

/** Creates valid tables for tests. */
public final class ConfigurationSamples {
    /** A well-distributed hash function that needs no library. */
    public static final Hasher HASHER =
            text -> {
                long hash = 0x9E3779B97F4A7C15L;
                for (int index = 0; index < text.length(); index++) {
                    hash = (hash ^ text.charAt(index)) * 0xff51afd7ed558ccdL;
                    hash ^= hash >>> 32;
                }
                return hash;
            };

    private ConfigurationSamples() {}

    /**
     * Creates a configuration with the given number of routes, each to a different model of one
     * pool.
     */
    public static Configuration configuration(long version, int routes) {
        List<Route> rows = new ArrayList<>();
        List<ArtifactLimit> artifacts = new ArrayList<>();
        for (int index = 0; index < Math.max(1, routes); index++) {
            artifacts.add(
                    new ArtifactLimit(
                            new ArtifactId("model-" + index, "1"), Optional.empty(), 1000, 0, 2));
        }
        for (int index = 0; index < routes; index++) {
            rows.add(route("route-" + index, "pool-a", "model-" + index));
        }
        return new Configuration(
                new ConfigurationVersion(version), rows, List.of(pool("pool-a", artifacts)));
    }

    /** Creates a route to a pool. */
    public static Route route(String name, String pool, String... models) {
        return new Route(
                new RouteName(name),
                "/" + name,
                List.of(models),
                Map.of("x-site", "callao"),
                RouteTarget.POOL,
                Optional.of(new PoolName(pool)),
                Optional.empty(),
                List.of(),
                true,
                false,
                Priority.NORMAL,
                Duration.ofSeconds(30),
                Duration.ofSeconds(60),
                1,
                50,
                1 << 20);
    }

    /** Creates a pool of server group {@code tutoring}. */
    public static Pool pool(String name, List<ArtifactLimit> artifacts) {
        return new Pool(new PoolName(name), new ServerGroup("tutoring"), artifacts, 1.5, 1, 100);
    }
}
