package org.tarragonlug.decision.capacity;

/**
 * Where a server holds the checkpoint of an artifact. The constants are ordered from the fastest
 * load to the slowest.
 */
public enum CacheTier {
    /** In the memory of the host. */
    MEMORY,
    /** On the local disk of the server. */
    DISK,
    /** Only in the weight store. */
    REMOTE
}
