package org.tarragonlug.decision.forwarding;

/** Why a send of a request is ended although its server has neither answered nor broken off. */
public enum CancelReason {
    /** The caller has closed its connection. */
    CALLER_GONE,
    /** The time of the request is over. */
    TIME_OVER,
    /** The process stops. */
    STOPPING,
    /** The server was silent for too long, and a further one is asked in its place. */
    SERVER_SILENT,
    /** The server was silent for too long, and another one has reserved a slot for the request. */
    SLOT_RESERVED,
    /** Another server has begun to answer the request. */
    OTHER_SERVER_ANSWERS
}
