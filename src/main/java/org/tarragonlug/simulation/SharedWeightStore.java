package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.tarragonlug.measure.VirtualTime;

/**
 * A weight store that serves a number of loads at full speed; beyond it, all loads share its speed
 * equally.
 */
final class SharedWeightStore {
    private final class Load {
        private double remainingMillis;
        private final Runnable completion;

        Load(double remainingMillis, Runnable completion) {
            this.remainingMillis = remainingMillis;
            this.completion = completion;
        }
    }

    private final VirtualTime time;
    private final int fullSpeedLoads;
    private final List<Load> loads = new ArrayList<>();
    private Instant updatedAt = Instant.EPOCH;
    private long generation;
    private int started;

    SharedWeightStore(VirtualTime time, int fullSpeedLoads) {
        this.time = time;
        this.fullSpeedLoads = fullSpeedLoads;
    }

    /** Returns the number of loads that were ever started. */
    int started() {
        return started;
    }

    /** Starts a load that takes the given time at full speed. */
    void start(Duration atFullSpeed, Runnable completion) {
        progress();
        started++;
        loads.add(new Load(atFullSpeed.toMillis(), completion));
        scheduleNext();
    }

    private double speed() {
        return Math.min(1, (double) fullSpeedLoads / loads.size());
    }

    private void progress() {
        double elapsed = Duration.between(updatedAt, time.now()).toNanos() / 1e6;
        updatedAt = time.now();
        if (!loads.isEmpty()) {
            double done = elapsed * speed();
            loads.forEach(load -> load.remainingMillis -= done);
        }
    }

    private void scheduleNext() {
        generation++;
        long scheduled = generation;
        loads.stream()
                .mapToDouble(load -> load.remainingMillis)
                .min()
                .ifPresent(
                        least ->
                                time.afterMillis(
                                        Math.max(0, least / speed()), () -> complete(scheduled)));
    }

    private void complete(long scheduled) {
        if (scheduled != generation) {
            return;
        }
        progress();
        List<Runnable> completions = new ArrayList<>();
        Iterator<Load> each = loads.iterator();
        while (each.hasNext()) {
            Load load = each.next();
            if (load.remainingMillis < 0.001) {
                each.remove();
                completions.add(load.completion);
            }
        }
        scheduleNext();
        completions.forEach(Runnable::run);
    }
}
