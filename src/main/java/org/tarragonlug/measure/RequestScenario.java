package org.tarragonlug.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.RouteTarget;
import org.tarragonlug.decision.request.DefaultRequestCoordinator;
import org.tarragonlug.decision.request.RequestCoordinator;
import org.tarragonlug.decision.request.RequestDescription;
import org.tarragonlug.decision.request.RequestSettings;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.IdempotencyKey;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.RouteName;

/** Creates coordinators, configurations and requests for simulated runs. */
public final class RequestScenario {
    private static final PoolName POOL = new PoolName("pool");
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long MAXIMUM_BODY_BYTES = 1 << 20;
    private static final double UNLIMITED_RATE = 1e6;
    private static final long BODY_BYTES = 100;

    private RequestScenario() {}

    /** Returns a coordinator with the default settings. */
    public static RequestCoordinator coordinator(
            RandomGenerator random, InvariantListener invariants) {
        return new DefaultRequestCoordinator(
                new ProcessId("entry"),
                new FailureDomain("domain-1"),
                RequestSettings.DEFAULT,
                String::hashCode,
                (route, key) -> new ClaimKey(route + "/" + key),
                random,
                invariants);
    }

    /** Returns a route to the engines, named after its path, with a share of their capacity. */
    public static Route engineRoute(String path, boolean idempotent, int share) {
        return route(path, RouteTarget.POOL, idempotent, share, UNLIMITED_RATE);
    }

    /** Returns a route to the plain service, named after its path. */
    public static Route serviceRoute(String path, boolean idempotent) {
        return route(path, RouteTarget.SERVICE, idempotent, 1, UNLIMITED_RATE);
    }

    /** Returns an idempotent route to the engines with a limit on requests per second. */
    public static Route limitedRoute(String path, double perSecond) {
        return route(path, RouteTarget.POOL, true, 1, perSecond);
    }

    /** Returns a configuration with one pool of engines for the given models. */
    public static Configuration configuration(
            long version, int queueLimit, List<String> models, Route... routes) {
        List<ArtifactLimit> limits = new ArrayList<>();
        for (String model : models) {
            limits.add(new ArtifactLimit(ArtifactId.parse(model), Optional.empty(), 1, 0, 8));
        }
        Pool pool = new Pool(POOL, RequestSimulation.ENGINES, limits, 1, 0, queueLimit);
        return new Configuration(new ConfigurationVersion(version), List.of(routes), List.of(pool));
    }

    /** Returns a request without an idempotency key, whose body is its id. */
    public static SimulatedRequest request(
            String id, String path, String model, int tokens, Duration timeout) {
        return new SimulatedRequest(
                new RequestId(id),
                description(path, model, timeout, Optional.empty(), id),
                tokens,
                false);
    }

    /** Returns the description of a request; an empty model name means that none is given. */
    public static RequestDescription description(
            String path, String model, Duration timeout, Optional<String> key, String body) {
        return new RequestDescription(
                "POST",
                path,
                model.isEmpty() ? Optional.empty() : Optional.of(model),
                Map.of(),
                Optional.of(timeout),
                Optional.empty(),
                key.map(IdempotencyKey::new),
                new Fingerprint(body),
                BODY_BYTES,
                0,
                true);
    }

    private static Route route(
            String path, RouteTarget target, boolean idempotent, int share, double perSecond) {
        boolean pool = target == RouteTarget.POOL;
        return new Route(
                new RouteName(path.substring(1)),
                path,
                List.of(),
                Map.of(),
                target,
                pool ? Optional.of(POOL) : Optional.empty(),
                pool ? Optional.empty() : Optional.of(RequestSimulation.SERVICES),
                List.of(),
                idempotent,
                false,
                Priority.NORMAL,
                TIMEOUT,
                TIMEOUT.multipliedBy(3),
                share,
                perSecond,
                MAXIMUM_BODY_BYTES);
    }
}
