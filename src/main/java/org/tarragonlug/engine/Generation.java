package org.tarragonlug.engine;

/** A generation in progress. */
public interface Generation {
    /** Stops it at the engine and ignores what still arrives. */
    void cancel();
}
