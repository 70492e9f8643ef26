package org.tarragonlug.standin;

import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/**
 * A change of the state of an artifact on a server.
 *
 * @param nanos {@link System#nanoTime} of the change
 * @param server the server
 * @param artifact the model or adapter
 * @param state the new state
 */
public record ReplicaChange(long nanos, ServerId server, ArtifactId artifact, State state) {
    /** State of an artifact on a server. */
    public enum State {
        /** The artifact is being loaded and occupies memory. */
        LOADING,
        /** The artifact is loaded and can serve requests. */
        LOADED,
        /** The artifact occupies no memory of the server. */
        ABSENT
    }
}
