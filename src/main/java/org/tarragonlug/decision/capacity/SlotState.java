package org.tarragonlug.decision.capacity;

/** State of a slot of the capacity record. */
public enum SlotState {
    /** A load was decided; without an open order it waits to be tried again. */
    LOADING,
    /** The engine confirmed the load. */
    READY,
    /** An unload was decided; the memory stays reserved until it is confirmed. */
    UNLOADING,
    /**
     * The unload was confirmed or has to be repeated, but a load order that the engine would not
     * refuse may still arrive. Keeps its memory and counts as a replica.
     */
    UNSETTLED;

    /** Tells whether the slot is meant to hold its artifact. */
    public boolean isLoadingOrReady() {
        return this == LOADING || this == READY;
    }
}
