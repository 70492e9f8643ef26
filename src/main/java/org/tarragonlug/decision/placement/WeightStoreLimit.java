package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the loads from the weight store, both the number that start within a sliding window and
 * the number that run in parallel.
 *
 * <p>The platform does not state how many loads the store can serve at full speed. Beyond that
 * number, more parallel loads complete no more models in the same time, but each model is ready
 * later and its server is blocked for longer. The limit therefore starts at {@link
 * #INITIAL_PARALLEL_LOADS} and doubles when a load ends in time that began as the last one which
 * the limit allowed. A load that began before others says nothing about them, because stores may
 * give the first loads their full speed. The limit shrinks to the observed capacity when loads take
 * longer: if n parallel loads each take f times the expected time, the store has capacity for n / f
 * loads. Loads in progress that are overdue count as well, because a slow store would otherwise be
 * recognised only when the first of many loads has ended.
 *
 * <p>Each attempt to grow beyond the capacity blocks servers for a multiple of the usual time.
 * After a load has been slow, the limit therefore stays for a multiple of the time that it took,
 * and then grows by single loads. A load may also be slow for another reason, such as an order that
 * is carried out late, so the limit must not stay low for good.
 */
final class WeightStoreLimit {
    static final int INITIAL_PARALLEL_LOADS = 2;

    private static final int MAX_PARALLEL_LOADS = 64;

    /** Ratio of actual to expected load time up to which a load counts as in time. */
    private static final double TOLERATED_SLOWNESS = 1.3;

    /** How long the limit does not grow after a slow load, as a multiple of the load's time. */
    private static final int GROWTH_PAUSE_IN_LOADS = 2;

    private final Duration window;
    private final Deque<Instant> loadStarts = new ArrayDeque<>();
    private int maxParallelLoads = INITIAL_PARALLEL_LOADS;
    private boolean slowdownSeen;
    private Instant growthAllowedAt = Instant.EPOCH;

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

    /**
     * Adapts the limit to a load that has ended.
     *
     * @param expected time for a load at full speed
     * @param actual time that the load took
     * @param loadsAtStart number of loads in progress when it began, including this one
     * @param loadsInProgress number of loads in progress at its end, including this one
     * @param now the present time
     */
    void onLoadEnded(
            Duration expected,
            Duration actual,
            int loadsAtStart,
            int loadsInProgress,
            Instant now) {
        if (slowness(expected, actual) > TOLERATED_SLOWNESS) {
            shrink(expected, actual, Math.max(loadsAtStart, loadsInProgress), now);
        } else if (loadsAtStart >= maxParallelLoads && !now.isBefore(growthAllowedAt)) {
            int larger = slowdownSeen ? maxParallelLoads + 1 : 2 * maxParallelLoads;
            maxParallelLoads = Math.min(MAX_PARALLEL_LOADS, larger);
        }
    }

    /**
     * Adapts the limit to a load in progress, if it already takes longer than expected.
     *
     * @param expected time for a load at full speed
     * @param elapsed time since the load began
     * @param loadsAtStart number of loads in progress when it began, including this one
     * @param loadsInProgress number of loads in progress, including this one
     * @param now the present time
     */
    void onLoadInProgress(
            Duration expected,
            Duration elapsed,
            int loadsAtStart,
            int loadsInProgress,
            Instant now) {
        if (slowness(expected, elapsed) > TOLERATED_SLOWNESS) {
            shrink(expected, elapsed, Math.max(loadsAtStart, loadsInProgress), now);
        }
    }

    private void shrink(Duration expected, Duration actual, int parallelLoads, Instant now) {
        int capacity = (int) Math.floor(parallelLoads / slowness(expected, actual));
        maxParallelLoads = Math.min(maxParallelLoads, Math.max(1, capacity));
        slowdownSeen = true;
        growthAllowedAt = now.plus(actual.multipliedBy(GROWTH_PAUSE_IN_LOADS));
    }

    private static double slowness(Duration expected, Duration actual) {
        return (double) actual.toMillis() / Math.max(1, expected.toMillis());
    }

    /**
     * Estimates how long a load takes among others.
     *
     * @param atFullSpeed time for a load at full speed
     * @param loadsInProgress number of loads that run in parallel, including this one
     */
    Duration loadTime(Duration atFullSpeed, int loadsInProgress) {
        double share = Math.max(1, (double) loadsInProgress / maxParallelLoads);
        return Duration.ofMillis((long) (atFullSpeed.toMillis() * share));
    }
}
