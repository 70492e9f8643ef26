package org.tarragonlug.engine;

/** A generation of tokens in progress. */
public interface Generation {
    /** Stops the generation at the engine. The listener is not called any more afterwards. */
    void cancel();
}
