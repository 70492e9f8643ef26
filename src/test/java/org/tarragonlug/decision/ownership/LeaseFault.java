package org.tarragonlug.decision.ownership;

/** A fault of an instance or of the store in {@link LeaseSimulation}. */
enum LeaseFault {
    /** The process stands still for a time. */
    PAUSE,
    /** The instance reaches neither the store nor its peers for a time. */
    PARTITION,
    /** The store answers no calls for a time. */
    STORE_DOWN,
    /** The process is told to stop, and stops for good. */
    STOP,
    /** The process is killed, and a new one starts after a time. */
    RESTART
}
