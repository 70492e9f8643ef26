package org.tarragonlug.standin;

import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * A change of what a server holds.
 *
 * @param nanos when, by {@link System#nanoTime}
 * @param server where
 * @param artifact what
 * @param state the state from then on
 */
public record ReplicaChange(long nanos, ServerId server, ArtifactId artifact, State state) {
    /** State of an artifact on a server. */
    public enum State {
        /** It is being loaded and occupies memory. */
        LOADING,
        /** It is loaded. */
        LOADED,
        /** It is not there. */
        ABSENT
    }
}
