package org.tarragonlug.decision.capacity;

/** Where a server holds the checkpoint of an artifact; an earlier constant loads faster. */
public enum CacheTier {
    /** In the memory of the host. */
    MEMORY,
    /** On the local disk of the server. */
    DISK,
    /** Only in the weight store. */
    REMOTE
}
