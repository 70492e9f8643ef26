package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Failed loads by slot: when the next try is due, and whether another server is preferable. */
final class LoadFailures {
    private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);
    private static final int MAX_DOUBLINGS = 5;
    private static final int LOADS_PER_SERVER = 3;
    private static final Duration EXCLUSION = Duration.ofSeconds(60);

    private record Failures(int count, Instant last) {}

    private final Map<Slot.Key, Failures> failures = new HashMap<>();

    void onLoadFailed(Slot.Key key, Instant now) {
        failures.merge(key, new Failures(1, now), (old, one) -> new Failures(old.count() + 1, now));
    }

    void onLoadSucceeded(Slot.Key key) {
        failures.remove(key);
    }

    void removeExpired(Instant now) {
        failures.values().removeIf(f -> f.last().plus(EXCLUSION).isBefore(now));
    }

    boolean mayRetry(Slot.Key key, Instant now) {
        Failures known = failures.get(key);
        if (known == null) {
            return true;
        }
        int doublings = Math.min(known.count() - 1, MAX_DOUBLINGS);
        return !now.isBefore(known.last().plus(FIRST_BACKOFF.multipliedBy(1L << doublings)));
    }

    boolean hasFailed(Slot.Key key) {
        return failures.containsKey(key);
    }

    /** Tells whether this server has failed so often that another one should be tried. */
    boolean isExhausted(Slot.Key key) {
        Failures known = failures.get(key);
        return known != null && known.count() >= LOADS_PER_SERVER;
    }
}
