package org.tarragonlug.decision.capacity;

/** The action that an order requests from a model engine. */
public enum OrderKind {
    /** Load an artifact. Loading an artifact that is already loaded has no effect. */
    LOAD,
    /** Unload an artifact. Unloading an artifact that is not loaded has no effect. */
    UNLOAD
}
