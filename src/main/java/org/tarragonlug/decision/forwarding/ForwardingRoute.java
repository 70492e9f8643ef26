package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServiceName;

/**
 * A route: which requests go to which service, and within which limits.
 *
 * @param name its name
 * @param host host that requests name
 * @param pathPrefix beginning of their paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout longest time until the answer is complete
 * @param targetLatency time within which an answer is fully useful
 * @param priority 0 is the most urgent
 * @param targets services with weights, at least one
 * @param maximumAttempts most servers that may run one request
 * @param resumable whether a broken stream may go on at another server
 * @param gapTarget longest pause between events of a timely stream; zero if not given
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
        Duration gapTarget) {
    /** Callers abandon a stream that pauses for this long, whatever its targets. */
    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);

    private static final int PATIENCE_IN_TARGETS = 4;
    private static final int PATIENCE_IN_GAPS = 8;

    public ForwardingRoute {
        targets = List.copyOf(targets);
    }

    /** Tells whether a request that may have run may be sent again. */
    public boolean retryable() {
        return kind.retryable(resumable);
    }

    /** Returns how long a caller waits for an event; empty for answers that are no streams. */
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
     * Chooses one of the targets by weight.
     *
     * @param hash well mixed bits of the request
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
