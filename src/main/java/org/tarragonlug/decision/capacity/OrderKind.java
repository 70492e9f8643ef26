package org.tarragonlug.decision.capacity;

/** What an order tells a model engine to do. */
public enum OrderKind {
    /** Load an artifact; loading what is loaded has no effect. */
    LOAD,
    /** Unload an artifact; unloading what is not loaded has no effect. */
    UNLOAD
}
