package org.tarragonlug.decision.capacity;

/** State of a slot of the capacity record. */
public enum SlotState {
    /** A load was decided. If no order is open, the load waits to be retried. */
    LOADING,
    /** The engine confirmed the load. */
    READY,
    /** An unload was decided. The memory stays reserved until the unload is confirmed. */
    UNLOADING,
    /**
     * The unload was confirmed or has to be repeated, but a load order that the engine would
     * execute may still arrive. The slot keeps its memory and counts as a replica.
     */
    UNSETTLED;

    /**
     * Tells whether the artifact of the slot is loaded or to be loaded, as opposed to being
     * unloaded.
     */
    public boolean isLoadingOrReady() {
        return this == LOADING || this == READY;
    }
}
