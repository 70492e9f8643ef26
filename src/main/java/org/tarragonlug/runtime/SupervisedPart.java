package org.tarragonlug.runtime;

import org.tarragonlug.error.TarragonlugException;

/** A part of the process that a supervisor starts, stops and restarts. */
public interface SupervisedPart {
    /** Returns a name that is unique among the parts of one supervisor. */
    String name();

    /**
     * Starts the part; called again after {@link #stop()} for a restart.
     *
     * @throws TarragonlugException if it cannot start
     */
    void start() throws TarragonlugException;

    /** Stops the part; must work on a part that has failed. */
    void stop();
}
