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

/** Configurations with a given number of models and adapters, distributed evenly over pools. */
final class ScaleTables {
    static final long MODEL_BYTES = 4L << 30;
    static final long ADAPTER_BYTES = 1L << 27;
    private static final int QUEUE_LIMIT = 64;
    private static final double REQUESTS_PER_SECOND = 1_000_000;
    private static final long BODY_BYTES = 1 << 18;
    private static final double COLD_START_WEIGHT = 5;

    private ScaleTables() {}

    /**
     * Returns a configuration with one route per pool.
     *
     * @param models number of models in all pools
     * @param adapters number of adapters in all pools
     * @param groups number of pools, each with its own server group
     */
    static Configuration configuration(int models, int adapters, int groups) {
        List<Route> routes = new ArrayList<>();
        List<Pool> pools = new ArrayList<>();
        for (int group = 0; group < groups; group++) {
            List<ArtifactLimit> limits = new ArrayList<>();
            for (int index = group; index < models; index += groups) {
                limits.add(model(index));
            }
            int first = limits.size();
            for (int index = group; index < adapters; index += groups) {
                limits.add(adapter(index, limits.get(index % first).artifact()));
            }
            pools.add(pool(group, limits));
            routes.add(route(group, limits));
        }
        return new Configuration(new ConfigurationVersion(1), routes, pools);
    }

    private static ArtifactLimit model(int index) {
        return new ArtifactLimit(
                new ArtifactId("model-" + index, "1"), Optional.empty(), MODEL_BYTES, 0, 2);
    }

    private static ArtifactLimit adapter(int index, ArtifactId base) {
        return new ArtifactLimit(
                new ArtifactId("adapter-" + index, "1"), Optional.of(base), ADAPTER_BYTES, 0, 2);
    }

    static ServerGroup group(int index) {
        return new ServerGroup("group-" + index);
    }

    static PoolName poolName(int index) {
        return new PoolName("pool-" + index);
    }

    private static Pool pool(int index, List<ArtifactLimit> limits) {
        return new Pool(poolName(index), group(index), limits, COLD_START_WEIGHT, 1, QUEUE_LIMIT);
    }

    private static Route route(int index, List<ArtifactLimit> limits) {
        return new Route(
                new RouteName("route-" + index),
                "/v1/chat/completions",
                limits.stream().map(limit -> limit.artifact().name()).toList(),
                Map.of(),
                RouteTarget.POOL,
                Optional.of(poolName(index)),
                Optional.empty(),
                List.of(),
                true,
                false,
                Priority.NORMAL,
                Duration.ofSeconds(30),
                Duration.ofSeconds(120),
                1,
                REQUESTS_PER_SECOND,
                BODY_BYTES);
    }
}
