package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Limit on requests in flight at one server, by additive increase and multiplicative decrease. The
 * limit increases while it is used up and the server has no queue, and decreases when the server is
 * overloaded.
 *
 * <p>Until the first sign of overload, the limit grows by one with each answer (slow start). A
 * batching engine accepts many more requests than the initial limit, and slower growth would delay
 * a first burst of requests. The limit decreases at most once per interval, because failures that
 * occur at the same moment are one sign of overload and not several.
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

    /**
     * Returns whether the limit is in slow start, in which more requests are sent than are
     * answered.
     */
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
        // A short queue keeps a batching engine busy. Only a longer queue means overload.
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
