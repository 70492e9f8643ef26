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
    private static final double USED_UP = 0.8;
    private static final double REFUSED_FACTOR = 0.7;
    private static final double QUEUEING_FACTOR = 0.9;
    private static final Duration DECREASE_PAUSE = Duration.ofMillis(500);

    private final int maximum;
    private double limit;
    private boolean starting = true;
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
    boolean isStarting() {
        return starting;
    }

    void succeeded(int inFlight) {
        if (!queueing && inFlight >= limit * USED_UP) {
            limit = Math.min(maximum, limit + (starting ? 1 : 1 / limit));
        }
    }

    void refused(Instant now) {
        starting = false;
        decrease(REFUSED_FACTOR, now);
    }

    void reported(int running, int queued, Instant now) {
        queueing = queued > 0;
        // A short queue keeps a batching engine busy; only a longer one is overload.
        if (queued > Math.max(2, running / 4)) {
            if (starting) {
                starting = false;
                limit = Math.max(1, Math.min(limit, running));
                decreasedAt = now;
                return;
            }
            decrease(QUEUEING_FACTOR, now);
        }
    }

    private void decrease(double factor, Instant now) {
        if (decreasedAt.equals(Instant.MIN)
                || Duration.between(decreasedAt, now).compareTo(DECREASE_PAUSE) >= 0) {
            limit = Math.max(1, limit * factor);
            decreasedAt = now;
        }
    }
}
