package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries to one service within a sliding window.
 *
 * <p>The platform's limit applies to all instances together. Each instance bases its limit on its
 * own first sends, which it counts exactly, and an equal share of the fixed allowance. Therefore
 * the instances need no messages to coordinate, and the sum of their retries cannot exceed the
 * limit. Only {@link #USABLE_SHARE} of the limit is used, because the platform counts in windows
 * that start at other times.
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
     * @param ratio retries allowed for each first send
     * @param allowance additional retries allowed per window, summed over all instances
     * @param instances number of instances that share the allowance
     */
    public RetryBudget(Duration window, double ratio, double allowance, InstanceCount instances) {
        this.window = window;
        this.ratio = ratio;
        this.allowance = allowance;
        this.instances = instances;
    }

    /** Counts the first send of a request, which increases the budget. */
    public void recordFirstSend(Instant now) {
        trim(now);
        firstSends.add(now);
    }

    /** Takes one retry from the budget; returns false if none is left. */
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
