package org.tarragonlug.decision.placement;

/** What a server answered to an order. */
public enum OrderResult {
    /** It carries the order out. */
    ACCEPTED,
    /** What the order asks for already holds. */
    ALREADY_DONE,
    /** Another order is in progress, or the server has accepted other orders than expected. */
    CONFLICT,
    /** Another server has the address, or the order is not possible. */
    REFUSED,
    /** The order was not sent, because nobody may give orders to the server now. */
    NOT_SENT,
    /** No answer: the server may carry the order out, even seconds later. */
    UNKNOWN
}
