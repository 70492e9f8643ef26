package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits repeated sends to one service within a sliding window.
 *
 * <p>The limit of the platform holds for all instances together. Each instance uses its own first
 * sends, which it counts exactly, and an equal part of the fixed allowance, so that no message
 * between instances is needed and the sum can not exceed the limit. A part of the ratio is kept
 * back, since the platform counts in windows that start at other moments.
 */
public final class RetryBudget {
    private static final double USABLE_SHARE = 0.8;

    private final Duration window;
    private final double ratio;
    private final double allowance;
    private final InstanceCount instances;
    private final Deque<Instant> firstSends = new ArrayDeque<>();
    private final Deque<Instant> retries = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param window length of the sliding window
     * @param ratio repeats allowed for each first send
     * @param allowance repeats allowed besides, over all instances
     * @param instances how many instances share the allowance
     */
    public RetryBudget(Duration window, double ratio, double allowance, InstanceCount instances) {
        this.window = window;
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
    }

    /** Counts the first send of a request. */
    public void recordFirstSend(Instant now) {
        trim(now);
        firstSends.add(now);
    }

    /** Takes one repeat if the budget allows it. */
    public boolean tryAcquire(Instant now) {
        trim(now);
        double limit = USABLE_SHARE * (ratio * firstSends.size() + allowance / instances.current());
        if (retries.size() + 1 > limit) {
            return false;
        }
        retries.add(now);
        return true;
    }

    private void trim(Instant now) {
        Instant oldest = now.minus(window);
        trim(firstSends, oldest);
        trim(retries, oldest);
    }

    private static void trim(Deque<Instant> times, Instant oldest) {
        while (!times.isEmpty() && times.peekFirst().isBefore(oldest)) {
            times.pollFirst();
        }
    }
}
