package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServiceName;

/**
 * A route: the requests that match, the services that receive them, and the limits that apply.
 *
 * @param name name of the route
 * @param host host that matching requests name
 * @param pathPrefix prefix of matching paths, with a slash at both ends
 * @param kind whether requests are idempotent, non-idempotent or streaming
 * @param timeout maximum time until the answer is complete
 * @param targetLatency time within which an answer has its full value for the caller
 * @param priority 0 is the most urgent
 * @param targets weighted services that receive the requests; at least one
 * @param maximumAttempts maximum number of servers that may run one request
 * @param resumable whether a broken stream may be resumed at another server
 * @param gapTarget maximum pause between the events of a stream that is on time; zero if not
 *     configured
 * @param isPublic whether requests need no key and belong to no account, whatever they state
 */
public record ForwardingRoute(
        RouteName name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        int priority,
        List<WeightedService> targets,
        int maximumAttempts,
        boolean resumable,
        Duration gapTarget,
        boolean isPublic) {
    /**
     * Minimum patience. Callers wait at least this long for an event of a stream, however short the
     * route's targets are.
     */
    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);

    /** How long callers wait for an event, as a multiple of the target latency. */
    private static final int PATIENCE_IN_TARGETS = 4;

    /** How long callers wait for an event, as a multiple of the target for pauses. */
    private static final int PATIENCE_IN_GAPS = 8;

    public ForwardingRoute {
        targets = List.copyOf(targets);
    }

    /** Creates a route that is not public. */
    public ForwardingRoute(
            RouteName name,
            String host,
            String pathPrefix,
            RequestKind kind,
            Duration timeout,
            Duration targetLatency,
            int priority,
            List<WeightedService> targets,
            int maximumAttempts,
            boolean resumable,
            Duration gapTarget) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeout,
                targetLatency,
                priority,
                targets,
                maximumAttempts,
                resumable,
                gapTarget,
                false);
    }

    /** Tells whether a request that may already have run may be sent again. */
    public boolean retryable() {
        return kind.retryable(resumable);
    }

    /** Returns how long a caller waits for the next event; empty for routes that do not stream. */
    public Optional<Duration> patience() {
        if (kind != RequestKind.STREAMING) {
            return Optional.empty();
        }
        Duration patience = MIN_PATIENCE;
        patience = longer(patience, targetLatency.multipliedBy(PATIENCE_IN_TARGETS));
        patience = longer(patience, gapTarget.multipliedBy(PATIENCE_IN_GAPS));
        return Optional.of(patience);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /**
     * Chooses one of the target services by weight.
     *
     * @param hash uniformly distributed hash of the request
     */
    public ServiceName chooseTarget(long hash) {
        long total = 0;
        for (WeightedService target : targets) {
            total += target.weight();
        }
        if (total <= 0) {
            return targets.get(0).service();
        }
        long point = Math.floorMod(hash, total);
        for (WeightedService target : targets) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
