package org.tarragonlug.simulation;

import java.time.Duration;
import org.tarragonlug.measure.VirtualTime;

/**
 * A weight store that serves a number of loads at full speed. A load that begins beside more of
 * them takes longer in proportion to their number at that time; later ones do not slow it down.
 */
final class SharedWeightStore {
    private final VirtualTime time;
    private final int fullSpeedLoads;
    private int inProgress;
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
        started++;
        inProgress++;
        double slowness = Math.max(1, (double) inProgress / fullSpeedLoads);
        time.afterMillis(
                atFullSpeed.toMillis() * slowness,
                () -> {
                    inProgress--;
                    completion.run();
                });
    }
}
