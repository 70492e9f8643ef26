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
 * One row of the table of routes: which requests go where.
 *
 * @param name unique name
 * @param pathPrefix prefix of the request path, starting with a slash
 * @param models names of models or adapters it matches; empty matches any
 * @param headers headers that must be present with exactly these values; names in lower case
 * @param target kind of target
 * @param pool the pool, for {@link RouteTarget#POOL}
 * @param service the group of the plain service, for {@link RouteTarget#SERVICE}
 * @param versions weights between versions of the matched models; a name without any entry uses the
 *     version that the request names, or version 1
 * @param idempotent whether requests may be repeated without harm
 * @param keyRequired whether a caller must send an idempotency key
 * @param priority priority of requests that state none
 * @param defaultTimeout deadline of requests that state none
 * @param maximumTimeout longest deadline a request may state
 * @param share weight in the fair sharing between routes, at least 1
 * @param requestsPerSecond most requests admitted a second at one entry instance
 * @param maximumBodyBytes largest body accepted, bytes
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
