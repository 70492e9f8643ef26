package org.tarragonlug.runtime;

import java.time.Instant;

/** Observer of a timer. */
@FunctionalInterface
public interface TimerListener {
    /**
     * Called when the timer is due.
     *
     * @param now the present time of the timer service
     */
    void onTimerDue(Instant now);
}
