package org.tarragonlug.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/**
 * Detects that the process did not run for a while, from the time between two ticks.
 *
 * <p>Two clocks are compared, because the steady clock stands still while a machine is suspended,
 * and the time of day may be set back.
 */
final class PauseDetector {
    /** Time between two ticks above which the process is treated as having been paused. */
    private static final Duration THRESHOLD = Duration.ofMillis(800);

    private final EventLog log;
    private final Runnable onPaused;
    private long lastNanos = System.nanoTime();
    private long lastMillis = System.currentTimeMillis();

    /**
     * Creates a detector.
     *
     * @param onPaused called at the first tick after a pause
     */
    PauseDetector(EventLog log, Runnable onPaused) {
        this.log = log;
        this.onPaused = onPaused;
    }

    /** Called periodically. */
    void tick() {
        long nanos = System.nanoTime();
        long millis = System.currentTimeMillis();
        long steady = TimeUnit.NANOSECONDS.toMillis(nanos - lastNanos);
        long wall = millis - lastMillis;
        lastNanos = nanos;
        lastMillis = millis;
        if (steady > THRESHOLD.toMillis() || wall > THRESHOLD.toMillis()) {
            log.event(LogEvent.PROCESS_PAUSED)
                    .with("steady_ms", steady)
                    .with("wall_ms", wall)
                    .write();
            onPaused.run();
        }
    }
}
