package org.tarragonlug.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.RouteTarget;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerGroup;

/** Configurations with a given number of routes for measurements, 25 routes to a pool. */
final class SampleTables {
    private static final int ROUTES_PER_POOL = 25;
    private static final long MODEL_BYTES = 14_000_000_000L;

    private SampleTables() {}

    static Configuration configuration(long version, int routes) {
        List<Route> rows = new ArrayList<>();
        List<Pool> pools = new ArrayList<>();
        for (int first = 0; first < routes; first += ROUTES_PER_POOL) {
            List<ArtifactLimit> artifacts = new ArrayList<>();
            String pool = "pool-" + first / ROUTES_PER_POOL;
            for (int index = first; index < Math.min(routes, first + ROUTES_PER_POOL); index++) {
                ArtifactId model = new ArtifactId("model-" + index, "1");
                artifacts.add(new ArtifactLimit(model, Optional.empty(), MODEL_BYTES, 0, 2));
                rows.add(route(index, pool, model, 50));
            }
            pools.add(
                    new Pool(
                            new PoolName(pool),
                            new ServerGroup("group-" + pool),
                            artifacts,
                            1,
                            1,
                            200));
        }
        return new Configuration(new ConfigurationVersion(version), rows, pools);
    }

    /** Returns the next version, in which one route admits one more request per second. */
    static Configuration withChangedRate(Configuration current, int change) {
        List<Route> rows = new ArrayList<>(current.routes());
        int index = change % rows.size();
        Route old = rows.get(index);
        rows.set(
                index,
                route(
                        index,
                        old.pool().orElseThrow().value(),
                        new ArtifactId(old.models().get(0), "1"),
                        old.requestsPerSecond() + 1));
        return new Configuration(current.version().next(), rows, current.pools());
    }

    private static Route route(int index, String pool, ArtifactId model, double rate) {
        return new Route(
                new RouteName("route-" + index),
                "/v1/" + model.name(),
                List.of(model.name()),
                Map.of(),
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
                rate,
                1 << 20);
    }
}
