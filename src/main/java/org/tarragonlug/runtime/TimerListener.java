package org.tarragonlug.runtime;

import java.time.Instant;

/** Listener that a {@link TimerService} calls when a timer is due. */
@FunctionalInterface
public interface TimerListener {
    /**
     * Called when the timer is due.
     *
     * @param now the present time of the timer service
     */
    void onTimerDue(Instant now);
}
