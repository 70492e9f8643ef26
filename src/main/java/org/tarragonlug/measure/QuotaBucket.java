package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.account.Quota;

/** A token bucket that holds a part of a quota; the baseline of the measurement. */
final class QuotaBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double rate;
    private final double burst;
    private double level;
    private Instant at = Instant.EPOCH;

    QuotaBucket(Quota quota, double part) {
        this.rate = quota.ratePerSecond() * part;
        this.burst = quota.burst() * part;
        this.level = burst;
    }

    private void refill(Instant now) {
        level =
                Math.min(
                        burst,
                        level + rate * Duration.between(at, now).toNanos() / NANOS_PER_SECOND);
        at = now;
    }

    boolean hasRoom(double cost, Instant now) {
        refill(now);
        return level >= cost;
    }

    boolean take(double cost, Instant now) {
        boolean room = hasRoom(cost, now);
        if (room) {
            level -= cost;
        }
        return room;
    }

    /** Takes a cost whether or not there is room for it. */
    void charge(double cost, Instant now) {
        refill(now);
        level -= cost;
    }
}
