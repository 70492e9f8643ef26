package org.tarragonlug.decision.forwarding;

/** How a server that did not run a request turned it away. */
public enum Rejection {
    /** The server is full, leaving or carries out an order. */
    BUSY,
    /** The server does not hold the model. */
    MODEL_ABSENT,
    /** Another server has the address now. */
    WRONG_SERVER,
    /** No connection could be made, so nothing was sent. */
    UNREACHABLE
}
