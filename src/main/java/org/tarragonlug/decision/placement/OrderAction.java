package org.tarragonlug.decision.placement;

/** The action that an order asks a server to perform. */
public enum OrderAction {
    /** Loads a model, or an adapter of a model that is already loaded. */
    LOAD,
    /** Unloads a model with all its adapters, or one adapter. */
    UNLOAD
}
