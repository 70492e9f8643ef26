package org.tarragonlug.runtime;

/** A subscription to the timer service. */
@FunctionalInterface
public interface TimerHandle {
    /** Ends the subscription; a call that is already running is not interrupted. */
    void cancel();
}
