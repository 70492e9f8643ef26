package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Limit on requests in flight at one server: additive increase while it is used up and the server
 * keeps up, multiplicative decrease when the server is overloaded. Until the first sign of overload
 * it grows by one with each answer, as a batching engine takes many more than the initial number
 * and a burst of first requests would otherwise pass in slow steps. It decreases at most once a
 * pause, because the failures of one moment are one sign and not many.
 */
final class InFlightLimit {
    private static final double USED_UP_SHARE = 0.8;
    private static final double OVERLOAD_FACTOR = 0.7;
    private static final double QUEUEING_FACTOR = 0.9;
    private static final Duration MIN_DECREASE_INTERVAL = Duration.ofMillis(500);

    private final int maximum;
    private double limit;
    private boolean slowStart = true;
    private boolean queueing;
    private Instant decreasedAt = Instant.MIN;

    InFlightLimit(int initial, int maximum) {
        this.maximum = maximum;
        limit = initial;
    }

    int value() {
        return (int) limit;
    }

    /** Tells whether it still grows fast, so that more is sent than was answered. */
    boolean isInSlowStart() {
        return slowStart;
    }

    void onAnswer(int inFlight) {
        if (!queueing && inFlight >= limit * USED_UP_SHARE) {
            limit = Math.min(maximum, limit + (slowStart ? 1 : 1 / limit));
        }
    }

    void onOverload(Instant now) {
        slowStart = false;
        decrease(OVERLOAD_FACTOR, now);
    }

    void onReport(int running, int queued, Instant now) {
        queueing = queued > 0;
        // A short queue keeps a batching engine busy; only a longer one is overload.
        if (queued > Math.max(2, running / 4)) {
            if (slowStart) {
                slowStart = false;
                limit = Math.max(1, Math.min(limit, running));
                decreasedAt = now;
                return;
            }
            decrease(QUEUEING_FACTOR, now);
        }
    }

    private void decrease(double factor, Instant now) {
        if (decreasedAt.equals(Instant.MIN)
                || Duration.between(decreasedAt, now).compareTo(MIN_DECREASE_INTERVAL) >= 0) {
            limit = Math.max(1, limit * factor);
            decreasedAt = now;
        }
    }
}
