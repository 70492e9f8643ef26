package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;

/** Limits the log lines about bad input, which may come at any rate. */
final class LogBudget {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final int linesPerWindow;
    private Instant windowStart = Instant.EPOCH;
    private int lines;
    private long suppressed;

    /**
     * Creates a budget.
     *
     * @param linesPerWindow how many lines may be written in ten seconds
     */
    LogBudget(int linesPerWindow) {
        this.linesPerWindow = linesPerWindow;
    }

    /** Returns whether a line may be written now. If not, it counts as suppressed. */
    boolean tryAcquire(Instant now) {
        if (!now.isBefore(windowStart.plus(WINDOW))) {
            windowStart = now;
            lines = 0;
        }
        if (lines >= linesPerWindow) {
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
