package org.tarragonlug.decision.capacity;

/** How a model engine treats the fencing token of an order. */
public enum FencingKind {
    /**
     * The engine rejects an order whose fencing token is lower than that of an order it has already
     * executed for the same artifact. The engine keeps the highest token across restarts.
     */
    CHECKED,
    /** The engine executes every order that it receives. */
    IGNORED
}
