package org.tarragonlug.decision.forwarding;

/** The availability of a server according to the platform's list. */
public enum ListedState {
    /** The server accepts new requests and orders. */
    READY,
    /** The server completes its present requests and then shuts down. */
    LEAVING
}
