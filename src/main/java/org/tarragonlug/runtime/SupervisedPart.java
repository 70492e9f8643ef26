package org.tarragonlug.runtime;

import org.tarragonlug.error.TarragonlugException;

/** A part of the process that a {@link Supervisor} starts, stops and restarts. */
public interface SupervisedPart {
    /** Returns a name that is unique among the parts of one supervisor. */
    String name();

    /**
     * Starts the part. For a restart, the supervisor calls {@link #stop()} and then this method.
     *
     * @throws TarragonlugException if the part cannot start
     */
    void start() throws TarragonlugException;

    /** Stops the part. Must also work if the part has failed. */
    void stop();
}
