package org.tarragonlug.runtime;

/** Handle of a timer that was scheduled at a {@link TimerService}. */
@FunctionalInterface
public interface TimerHandle {
    /** Cancels the timer. A call of the listener that is already running is not interrupted. */
    void cancel();
}
