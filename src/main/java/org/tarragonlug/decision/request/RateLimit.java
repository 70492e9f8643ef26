package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket that holds the tokens of one second, or at least one token, so that a burst within
 * the rate is admitted.
 */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double tokens;
    private Instant updatedAt;

    RateLimit(double perSecond, Instant now) {
        this.perSecond = perSecond;
        tokens = capacity();
        updatedAt = now;
    }

    void changeRate(double newPerSecond) {
        perSecond = newPerSecond;
        tokens = Math.min(tokens, capacity());
    }

    boolean tryTake(Instant now) {
        double elapsed = Duration.between(updatedAt, now).toNanos() / NANOS_PER_SECOND;
        tokens = Math.min(capacity(), tokens + Math.max(0, elapsed) * perSecond);
        updatedAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns the time until the next request is admitted, provided that no other request arrives
     * before.
     */
    Duration timeToNextToken() {
        if (perSecond <= 0) {
            return Duration.ofMinutes(1);
        }
        return Duration.ofNanos((long) (Math.max(0, 1 - tokens) / perSecond * NANOS_PER_SECOND));
    }

    private double capacity() {
        return Math.max(1, perSecond);
    }
}
