package org.tarragonlug.decision.quarantine;

/** Why requests with a trait may reach servers again. */
public enum ReleaseReason {
    /** A server has begun to answer a request with the trait. */
    ANSWERED,
    /** Servers that counted as lost were not lost. */
    SERVERS_NOT_LOST,
    /** An operator, or an instance that decided before, has removed the trait from the store. */
    REMOVED_FROM_STORE,
    /** No request with the trait has crashed a server for a long time. */
    EXPIRED
}
