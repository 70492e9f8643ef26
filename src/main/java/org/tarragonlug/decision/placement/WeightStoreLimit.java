package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits loads from the weight store: how many begin within a sliding window, and how many are
 * under way at once.
 *
 * <p>The platform does not say how many loads run at full speed. The limit starts at {@link
 * #INITIAL_PARALLEL_LOADS} and shrinks to the number of loads that the store was seen to carry: n
 * loads that each take f times the stated time use the capacity of n / f. More loads at once would
 * finish no more loads, only each of them later.
 */
final class WeightStoreLimit {
    static final int INITIAL_PARALLEL_LOADS = 4;

    /** Loads may take this much longer than stated before the limit shrinks. */
    private static final double TOLERATED_SLOWNESS = 1.3;

    private final Duration window;
    private final Deque<Instant> loadStarts = new ArrayDeque<>();
    private int maxParallelLoads = INITIAL_PARALLEL_LOADS;

    WeightStoreLimit(Duration window) {
        this.window = window;
    }

    /** Returns how many loads may be under way at once. */
    int maxParallelLoads() {
        return maxParallelLoads;
    }

    boolean allows(double loadsPerSecond, int loadsInProgress, Instant now) {
        while (!loadStarts.isEmpty() && loadStarts.peekFirst().isBefore(now.minus(window))) {
            loadStarts.pollFirst();
        }
        double maxLoads = Math.max(1, Math.floor(loadsPerSecond * window.toMillis() / 1000.0));
        return loadsInProgress < maxParallelLoads && loadStarts.size() < maxLoads;
    }

    void onLoadStarted(Instant now) {
        loadStarts.addLast(now);
    }

    /** Counts loads of an earlier owner, which are not known, as half of what is allowed. */
    void assumePriorLoads(double loadsPerSecond, Instant now) {
        int half = (int) (loadsPerSecond * window.toMillis() / 2000.0);
        for (int index = 0; index < half; index++) {
            loadStarts.addLast(now);
        }
    }

    void onLoadEnded(Duration expected, Duration actual, int loadsInProgress) {
        double slowness = (double) actual.toMillis() / Math.max(1, expected.toMillis());
        if (slowness > TOLERATED_SLOWNESS && loadsInProgress > 1) {
            int capacity = (int) Math.max(1, Math.round(loadsInProgress / slowness));
            maxParallelLoads = Math.min(maxParallelLoads, capacity);
        }
    }
}
