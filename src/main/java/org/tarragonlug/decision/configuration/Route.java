package org.tarragonlug.decision.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerGroup;

/**
 * One row of the table of routes: the requests that it matches and the target that serves them.
 *
 * @param name unique name
 * @param pathPrefix prefix of the request path, starting with a slash
 * @param models names of the models or adapters that the route matches; an empty list matches any
 * @param headers headers that a request must carry with exactly these values; names in lower case
 * @param target kind of target
 * @param pool the pool, for {@link RouteTarget#POOL}
 * @param service the group of the plain service, for {@link RouteTarget#SERVICE}
 * @param versions weights of the versions of the matched models; for a model name without an entry,
 *     the version that the request names is used, or version 1
 * @param idempotent whether requests may safely run more than once
 * @param keyRequired whether a caller must send an idempotency key
 * @param priority priority of requests that do not specify one
 * @param defaultTimeout timeout of requests that do not specify one
 * @param maximumTimeout longest timeout that a request may specify
 * @param share weight of the route in fair sharing between routes; at least 1
 * @param requestsPerSecond maximum rate of requests admitted at one entry instance
 * @param maximumBodyBytes size of the largest accepted body, in bytes
 */
public record Route(
        RouteName name,
        String pathPrefix,
        List<String> models,
        Map<String, String> headers,
        RouteTarget target,
        Optional<PoolName> pool,
        Optional<ServerGroup> service,
        List<VersionWeight> versions,
        boolean idempotent,
        boolean keyRequired,
        Priority priority,
        Duration defaultTimeout,
        Duration maximumTimeout,
        int share,
        double requestsPerSecond,
        long maximumBodyBytes) {
    public Route {
        models = List.copyOf(models);
        headers = Map.copyOf(headers);
        versions = List.copyOf(versions);
    }
}
