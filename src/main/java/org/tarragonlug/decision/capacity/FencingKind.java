package org.tarragonlug.decision.capacity;

/** What a model engine does with the fencing number of an order. */
public enum FencingKind {
    /**
     * The engine refuses an order for an artifact that carries a lower fencing number than one it
     * has already executed for the same artifact, also after a restart.
     */
    CHECKED,
    /** The engine executes every order that reaches it. */
    IGNORED
}
