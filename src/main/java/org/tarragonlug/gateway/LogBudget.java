package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;

/** Limits the log lines about input of callers, who may send bad input at any rate. */
final class LogBudget {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Lines in each window; enough to see which callers and routes are concerned. */
    private static final int LINES = 10;

    private Instant windowStart = Instant.EPOCH;
    private int lines;
    private long suppressed;

    /** Returns whether a line may be written now. If not, it counts as suppressed. */
    boolean tryAcquire(Instant now) {
        if (!now.isBefore(windowStart.plus(WINDOW))) {
            windowStart = now;
            lines = 0;
        }
        if (lines >= LINES) {
            suppressed++;
            return false;
        }
        lines++;
        return true;
    }

    /** Returns how many lines were suppressed since the last call. */
    long takeSuppressed() {
        long count = suppressed;
        suppressed = 0;
        return count;
    }
}
