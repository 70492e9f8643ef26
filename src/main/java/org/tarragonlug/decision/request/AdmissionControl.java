package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.RouteTarget;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.RouteName;

/**
 * Admits arriving requests into the queues, or refuses them at once.
 *
 * <p>A request is refused early if its expected wait and the time that most answers take do not fit
 * before its deadline. The mean time does not do: in overload every request waits as long as
 * admission lets it, and the longer half would run in vain. The time of an answer alone never
 * refuses a request: it may be a short one.
 */
final class AdmissionControl {
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration DUPLICATE_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration BODY_BYTES_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_EXPIRY_MARGIN_DIVISOR = 10;

    private record Refusal(
            RefusalReason reason,
            Execution execution,
            Optional<Duration> retryAfter,
            String detail) {
        static Refusal permanent(RefusalReason reason, String detail) {
            return new Refusal(reason, Execution.NOT_RUN, Optional.empty(), detail);
        }

        static Refusal temporary(RefusalReason reason, Duration retryAfter, String detail) {
            Optional<Duration> bounded = Optional.of(RequestCompletion.clampRetryAfter(retryAfter));
            return new Refusal(reason, Execution.NOT_RUN, bounded, detail);
        }
    }

    private final CoordinatorContext context;
    private final TargetRegistry targets;
    private final RequestCompletion completion;
    private final Hasher hasher;
    private final ClaimKeys claimKeys;
    private final RandomGenerator random;
    private final Map<RouteName, RouteUsage> usages = new HashMap<>();
    private final Map<PoolName, Pool> pools = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private RouteTable routes = new RouteTable(Configuration.EMPTY);
    private long arrivals;

    AdmissionControl(
            CoordinatorContext context,
            TargetRegistry targets,
            RequestCompletion endings,
            Hasher hasher,
            ClaimKeys claimKeys,
            RandomGenerator random) {
        this.context = context;
        this.targets = targets;
        this.completion = endings;
        this.hasher = hasher;
        this.claimKeys = claimKeys;
        this.random = random;
    }

    /** Installs a newer configuration; an older one is ignored, so that none reverts. */
    void onConfigurationChanged(Configuration changed, Instant now) {
        if (changed.version().compareTo(configuration.version()) <= 0) {
            return;
        }
        configuration = changed;
        routes = new RouteTable(changed);
        pools.clear();
        changed.pools().forEach(pool -> pools.put(pool.name(), pool));
        Map<RouteName, RouteUsage> kept = new HashMap<>(usages);
        usages.clear();
        for (Route route : changed.routes()) {
            RouteUsage usage =
                    kept.getOrDefault(
                            route.name(),
                            new RouteUsage(new RateLimit(route.requestsPerSecond(), now)));
            usage.rateLimit.changeRate(route.requestsPerSecond());
            usages.put(route.name(), usage);
        }
    }

    void onRequestArrived(RequestId id, RequestDescription description, Instant now) {
        if (context.requests.containsKey(id)) {
            throw new IllegalArgumentException("the request id is in use: " + id);
        }
        if (configuration == Configuration.EMPTY) {
            refuse(id, Refusal.permanent(RefusalReason.NOT_READY, "no configuration yet"));
            return;
        }
        Optional<Route> matched = routes.match(description);
        if (matched.isEmpty()) {
            refuse(id, Refusal.permanent(RefusalReason.ROUTE_NOT_FOUND, description.path()));
            return;
        }
        Route route = matched.get();
        RouteUsage usage = usages.get(route.name());
        Refusal refusal = checkRoute(route, usage, description, now);
        if (refusal != null) {
            refuse(id, refusal);
            return;
        }
        Target target = findTarget(route, description);
        if (target == null) {
            String detail =
                    "artifact=" + description.artifact().orElse("") + " route=" + route.name();
            refuse(id, Refusal.permanent(RefusalReason.ARTIFACT_NOT_FOUND, detail));
            return;
        }
        target.arrivals++;
        admitOrRefuse(newRequest(id, description, route, usage, target, now), now);
    }

    private Refusal checkRoute(
            Route route, RouteUsage usage, RequestDescription description, Instant now) {
        if (description.bodyBytes() > route.maximumBodyBytes()) {
            String detail = "bytes=" + description.bodyBytes() + " of=" + route.maximumBodyBytes();
            return Refusal.permanent(RefusalReason.BODY_TOO_LARGE, detail);
        }
        if (route.keyRequired() && description.key().isEmpty()) {
            return Refusal.permanent(RefusalReason.KEY_REQUIRED, "route=" + route.name());
        }
        if (context.quarantine.isQuarantined(fingerprint(route, description))) {
            return Refusal.permanent(RefusalReason.REQUEST_QUARANTINED, "route=" + route.name());
        }
        long limit = Math.max(context.settings.bytesPerRoute(), route.maximumBodyBytes());
        if (usage.bytesHeld + description.bodyBytes() > limit) {
            String detail = "route=" + route.name() + " bytes_held=" + usage.bytesHeld;
            return Refusal.temporary(RefusalReason.RATE_LIMITED, BODY_BYTES_RETRY_AFTER, detail);
        }
        if (!usage.rateLimit.tryTake(now)) {
            String detail = "route=" + route.name() + " a_second=" + route.requestsPerSecond();
            return Refusal.temporary(RefusalReason.RATE_LIMITED, usage.rateLimit.timeToNextToken(), detail);
        }
        return null;
    }

    private void admitOrRefuse(PendingRequest request, Instant now) {
        Refusal refusal = checkClaim(request);
        if (refusal == null) {
            refusal = checkTarget(request, now);
        }
        if (refusal == null && isFull(request.target)) {
            refusal = displaceWaitingRequest(request, now);
        }
        if (refusal != null) {
            refuse(request.id, refusal);
            return;
        }
        if (request.claimKey != null) {
            context.claims.markInUse(request.claimKey, request.id);
        }
        request.usage.bytesHeld += request.description.bodyBytes();
        context.requests.put(request.id, request);
        request.expiryTimer = new TimerHeap.Timer(due -> completion.expire(request, due));
        Duration timeout = Duration.between(now, request.deadline);
        Duration share = timeout.dividedBy(MAX_EXPIRY_MARGIN_DIVISOR);
        Duration margin = context.settings.expiryMargin();
        Duration early = share.compareTo(margin) < 0 ? share : margin;
        context.timers.schedule(request.expiryTimer, request.deadline.minus(early));
        context.enqueue(request, now);
    }

    private Refusal checkClaim(PendingRequest request) {
        if (request.claimKey == null || !context.claims.isInUse(request.claimKey)) {
            return null;
        }
        PendingRequest user = context.requests.get(context.claims.requestUsing(request.claimKey));
        if (user != null && !user.description.bodyHash().equals(request.description.bodyHash())) {
            return Refusal.permanent(RefusalReason.KEY_REUSED, "claim=" + request.claimKey);
        }
        return new Refusal(
                RefusalReason.DUPLICATE_IN_PROGRESS,
                Execution.MAY_HAVE_RUN,
                Optional.of(DUPLICATE_RETRY_AFTER),
                "claim=" + request.claimKey);
    }

    private Refusal checkTarget(PendingRequest request, Instant now) {
        Target target = request.target;
        Duration wait = target.expectedWait(request.route, request.priority, now);
        String detail = "waiting=" + target.waiting() + " expected_ms=" + wait.toMillis();
        if (target.replicas.coldStart == ColdStart.UNAVAILABLE
                && !target.replicas.hasUsableServer()) {
            Duration retry =
                    target.replicas
                            .expectedReadyAt
                            .map(at -> Duration.between(now, at))
                            .orElse(UNAVAILABLE_RETRY_AFTER);
            return Refusal.temporary(RefusalReason.NO_CAPACITY, retry, detail);
        }
        Duration usual = Duration.ofNanos((long) (target.answerMillis.upperEstimate() * 1e6));
        Duration remaining = request.remaining(now);
        boolean fits = wait.plus(usual).compareTo(remaining) <= 0;
        boolean passed = remaining.isZero() || remaining.isNegative();
        if (passed || !wait.isZero() && !fits) {
            return Refusal.temporary(RefusalReason.DEADLINE_TOO_NEAR, wait, detail);
        }
        return null;
    }

    private boolean isFull(Target target) {
        int limit =
                target.pool
                        .map(pool -> pools.get(pool).queueLimit())
                        .orElse(context.settings.serviceQueueLimit());
        return target.waiting() >= limit;
    }

    /** Refuses another waiting request if that is fairer, otherwise returns the refusal. */
    private Refusal displaceWaitingRequest(PendingRequest request, Instant now) {
        Target target = request.target;
        Duration wait = target.expectedWait(request.route, request.priority, now);
        String detail = "waiting=" + target.waiting() + " expected_ms=" + wait.toMillis();
        PendingRequest other = target.queue.findDisplaceable(request.route, request.priority);
        if (other == null) {
            return Refusal.temporary(RefusalReason.QUEUE_FULL, wait, detail);
        }
        completion.refuse(other, RefusalReason.QUEUE_FULL, Optional.of(wait), detail, now);
        return null;
    }

    private PendingRequest newRequest(
            RequestId id,
            RequestDescription description,
            Route route,
            RouteUsage usage,
            Target target,
            Instant now) {
        Duration timeout = description.timeout().orElse(route.defaultTimeout());
        if (timeout.compareTo(route.maximumTimeout()) > 0) {
            timeout = route.maximumTimeout();
        }
        arrivals++;
        PendingRequest request =
                new PendingRequest(
                        id,
                        description,
                        usage,
                        route,
                        target,
                        now,
                        now.plus(timeout),
                        fingerprint(route, description),
                        arrivals);
        request.claimKey = claimKey(route, description);
        return request;
    }

    private ClaimKey claimKey(Route route, RequestDescription description) {
        if (route.idempotent() || description.key().isEmpty()) {
            return null;
        }
        return claimKeys.claimKey(route.name(), description.key().get());
    }

    private Target findTarget(Route route, RequestDescription description) {
        if (route.target() == RouteTarget.SERVICE) {
            return route.service().map(targets::service).orElse(null);
        }
        Pool pool = route.pool().map(pools::get).orElse(null);
        if (pool == null) {
            return null;
        }
        Optional<ArtifactId> artifact = RouteTable.artifact(route, description, random);
        if (artifact.isEmpty() || configuration.limit(pool.name(), artifact.get()).isEmpty()) {
            return null;
        }
        return targets.artifact(pool.name(), pool.group(), artifact.get());
    }

    /** The route's hash keeps its name, which may hold any character, out of object names. */
    private Fingerprint fingerprint(Route route, RequestDescription description) {
        String routeHash = Long.toHexString(hasher.hash(route.name().value()));
        return new Fingerprint(routeHash + "-" + description.bodyHash());
    }

    private void refuse(RequestId request, Refusal refusal) {
        context.add(
                new RequestCommand.Refuse(
                        request,
                        refusal.reason(),
                        refusal.execution(),
                        refusal.retryAfter(),
                        refusal.detail()));
    }
}
