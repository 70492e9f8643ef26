package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;

/** The only source of time in a process; parts subscribe to it. */
public interface TimerService extends AutoCloseable {
    /** Returns the present time; it never goes back, even if the system clock is set. */
    Instant now();

    /**
     * Calls a listener periodically.
     *
     * @param period time between calls, positive
     * @param listener called on the timer thread; it must not block
     * @return the subscription
     */
    TimerHandle schedulePeriodically(Duration period, TimerListener listener);

    /**
     * Calls a listener once.
     *
     * @param delay time until the call
     * @param listener called on the timer thread; it must not block
     * @return the subscription
     */
    TimerHandle scheduleOnce(Duration delay, TimerListener listener);

    @Override
    void close();
}
