package org.tarragonlug.decision.placement;

/** What an order asks a server to do. */
public enum OrderAction {
    /** Load a model, or an adapter of a model that is present. */
    LOAD,
    /** Drop a model with its adapters, or one adapter. */
    UNLOAD
}
