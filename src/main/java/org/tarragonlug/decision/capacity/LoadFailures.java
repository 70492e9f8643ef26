package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts failed loads by slot. Decides when the next load may start, and when to choose another
 * server.
 */
final class LoadFailures {
    private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);
    private static final int MAX_DOUBLINGS = 5;
    private static final int MAX_FAILURES_PER_SERVER = 3;

    /**
     * The failures of a slot are forgotten this long after the last one. Until then, no further
     * replica of the artifact is placed on a server where loads of it have failed too often.
     */
    private static final Duration FAILURE_LIFETIME = Duration.ofSeconds(60);

    private record Failures(int count, Instant last) {}

    private final Map<Slot.Key, Failures> failures = new HashMap<>();

    void onLoadFailed(Slot.Key key, Instant now) {
        failures.merge(key, new Failures(1, now), (old, one) -> new Failures(old.count() + 1, now));
    }

    void onLoadSucceeded(Slot.Key key) {
        failures.remove(key);
    }

    void removeExpired(Instant now) {
        failures.values().removeIf(f -> f.last().plus(FAILURE_LIFETIME).isBefore(now));
    }

    boolean mayRetry(Slot.Key key, Instant now) {
        Failures slotFailures = failures.get(key);
        if (slotFailures == null) {
            return true;
        }
        int doublings = Math.min(slotFailures.count() - 1, MAX_DOUBLINGS);
        return !now.isBefore(slotFailures.last().plus(FIRST_BACKOFF.multipliedBy(1L << doublings)));
    }

    boolean hasFailed(Slot.Key key) {
        return failures.containsKey(key);
    }

    /**
     * Tells whether loads on this server have failed so often that another server should be tried.
     */
    boolean isExhausted(Slot.Key key) {
        Failures slotFailures = failures.get(key);
        return slotFailures != null && slotFailures.count() >= MAX_FAILURES_PER_SERVER;
    }
}
