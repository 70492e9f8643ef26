package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;

/**
 * The only source of time in a process. It tells the time and calls listeners when timers are due.
 */
public interface TimerService extends AutoCloseable {
    /** Returns the present time, which never decreases, even if the system clock is set back. */
    Instant now();

    /**
     * Calls a listener periodically until the timer is cancelled.
     *
     * @param period time until the first call and between calls; must be positive
     * @param listener called on the timer thread; it must not block
     * @return a handle that cancels the timer
     */
    TimerHandle schedulePeriodically(Duration period, TimerListener listener);

    /**
     * Calls a listener once after a delay.
     *
     * @param delay time until the call
     * @param listener called on the timer thread; it must not block
     * @return a handle that cancels the timer
     */
    TimerHandle scheduleOnce(Duration delay, TimerListener listener);

    @Override
    void close();
}
