package org.tarragonlug.decision.placement;

/** The result of sending an order to a server. */
public enum OrderResult {
    /** The server is carrying out the order. */
    ACCEPTED,
    /** The server was already in the state that the order asks for. */
    ALREADY_DONE,
    /** Another order is in progress, or the number of accepted orders is not the expected one. */
    CONFLICT,
    /** Another server has the address, or the server cannot carry out the order. */
    REFUSED,
    /** The order was not sent because no instance may give orders to the server at present. */
    NOT_SENT,
    /** The server did not answer; it may carry out the order, even seconds later. */
    UNKNOWN
}
