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
 * Admits arriving requests to the queues or refuses them immediately.
 *
 * <p>A request is refused early if its expected wait plus the upper estimate of the answer time
 * exceeds the time until its deadline. The mean answer time is not enough for this check: under
 * overload, every request waits as long as admission allows, and the slower half of the requests
 * would run and still miss their deadlines. The answer time alone never causes a refusal, because
 * the new request may be a short one.
 */
final class AdmissionControl {
    private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration DUPLICATE_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration BODY_BYTES_RETRY_AFTER = Duration.ofSeconds(1);

    /** The expiry margin is at most the timeout of the request divided by this number. */
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
            Optional<Duration> clamped = Optional.of(RequestCompletion.clampRetryAfter(retryAfter));
            return new Refusal(reason, Execution.NOT_RUN, clamped, detail);
        }
    }

    private final CoordinatorContext context;
    private final TargetRegistry targets;
    private final RequestCompletion completion;
    private final Hasher hasher;
    private final ClaimKeys claimKeys;
    private final RandomGenerator random;
    private final Map<RouteName, RouteUsage> routeUsages = new HashMap<>();
    private final Map<PoolName, Pool> pools = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private RouteTable routes = new RouteTable(Configuration.EMPTY);
    private long arrivals;

    AdmissionControl(
            CoordinatorContext context,
            TargetRegistry targets,
            RequestCompletion completion,
            Hasher hasher,
            ClaimKeys claimKeys,
            RandomGenerator random) {
        this.context = context;
        this.targets = targets;
        this.completion = completion;
        this.hasher = hasher;
        this.claimKeys = claimKeys;
        this.random = random;
    }

    /**
     * Installs a newer configuration and ignores an older one, so the configuration never reverts
     * to an earlier version.
     */
    void onConfigurationChanged(Configuration newer, Instant now) {
        if (newer.version().compareTo(configuration.version()) <= 0) {
            return;
        }
        configuration = newer;
        routes = new RouteTable(newer);
        pools.clear();
        newer.pools().forEach(pool -> pools.put(pool.name(), pool));
        Map<RouteName, RouteUsage> previousUsages = new HashMap<>(routeUsages);
        routeUsages.clear();
        for (Route route : newer.routes()) {
            RouteUsage usage =
                    previousUsages.getOrDefault(
                            route.name(),
                            new RouteUsage(new RateLimit(route.requestsPerSecond(), now)));
            usage.rateLimit.changeRate(route.requestsPerSecond());
            routeUsages.put(route.name(), usage);
        }
    }

    void onRequestArrived(RequestId id, RequestDescription description, Instant now) {
        if (context.requests.containsKey(id)) {
            throw new IllegalArgumentException(
                    "a request with this id is in progress already: " + id);
        }
        if (configuration == Configuration.EMPTY) {
            refuse(
                    id,
                    Refusal.permanent(
                            RefusalReason.NOT_READY, "no configuration has been received yet"));
            return;
        }
        Optional<Route> matched = routes.match(description);
        if (matched.isEmpty()) {
            refuse(id, Refusal.permanent(RefusalReason.ROUTE_NOT_FOUND, description.path()));
            return;
        }
        Route route = matched.get();
        RouteUsage usage = routeUsages.get(route.name());
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
            return Refusal.temporary(
                    RefusalReason.RATE_LIMITED, usage.rateLimit.timeToNextToken(), detail);
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
        Duration timeoutShare = timeout.dividedBy(MAX_EXPIRY_MARGIN_DIVISOR);
        Duration maximum = context.settings.expiryMargin();
        Duration expiryMargin = timeoutShare.compareTo(maximum) < 0 ? timeoutShare : maximum;
        context.timers.schedule(request.expiryTimer, request.deadline.minus(expiryMargin));
        context.enqueue(request, now);
    }

    private Refusal checkClaim(PendingRequest request) {
        if (request.claimKey == null || !context.claims.isInUse(request.claimKey)) {
            return null;
        }
        PendingRequest current =
                context.requests.get(context.claims.requestUsing(request.claimKey));
        if (current != null
                && !current.description.bodyHash().equals(request.description.bodyHash())) {
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
            Duration retryAfter =
                    target.replicas
                            .expectedReadyAt
                            .map(readyAt -> Duration.between(now, readyAt))
                            .orElse(UNAVAILABLE_RETRY_AFTER);
            return Refusal.temporary(RefusalReason.NO_CAPACITY, retryAfter, detail);
        }
        Duration upperAnswerTime =
                Duration.ofNanos((long) (target.answerMillis.upperEstimate() * 1e6));
        Duration remaining = request.remaining(now);
        boolean fits = wait.plus(upperAnswerTime).compareTo(remaining) <= 0;
        boolean expired = remaining.isZero() || remaining.isNegative();
        if (expired || !wait.isZero() && !fits) {
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

    /**
     * Refuses a waiting request in favor of the new one if that is fairer.
     *
     * @return null if the new request takes the place of the refused one, otherwise the refusal of
     *     the new request
     */
    private Refusal displaceWaitingRequest(PendingRequest request, Instant now) {
        Target target = request.target;
        Duration wait = target.expectedWait(request.route, request.priority, now);
        String detail = "waiting=" + target.waiting() + " expected_ms=" + wait.toMillis();
        PendingRequest displaced = target.queue.findDisplaceable(request.route, request.priority);
        if (displaced == null) {
            return Refusal.temporary(RefusalReason.QUEUE_FULL, wait, detail);
        }
        completion.refuse(displaced, RefusalReason.QUEUE_FULL, Optional.of(wait), detail, now);
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

    /**
     * Returns the hash of the route name joined with the hash of the body. A fingerprint is used in
     * object names, and a route name may contain characters that are not allowed there, so the
     * route name is hashed.
     */
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
