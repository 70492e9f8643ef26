package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the loads from the weight store, both the number that start within a sliding window and
 * the number that run in parallel.
 *
 * <p>The platform does not state how many loads the store can serve at full speed. The limit starts
 * at {@link #INITIAL_PARALLEL_LOADS} and shrinks to the observed capacity: if n parallel loads each
 * take f times the expected time, the store has capacity for n / f loads at full speed. A higher
 * parallelism would complete no more loads in the same time, but would delay each load.
 */
final class WeightStoreLimit {
    static final int INITIAL_PARALLEL_LOADS = 4;

    /** Ratio of actual to expected load time up to which the limit does not shrink. */
    private static final double TOLERATED_SLOWNESS = 1.3;

    private final Duration window;
    private final Deque<Instant> loadStarts = new ArrayDeque<>();
    private int maxParallelLoads = INITIAL_PARALLEL_LOADS;

    WeightStoreLimit(Duration window) {
        this.window = window;
    }

    /** Returns how many loads may run in parallel. */
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

    /** Counts the unknown loads of an earlier planner as half of the allowed number. */
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
