package org.tarragonlug.decision.capacity;

/** The outcome of an order, as known to its sender. */
public enum OrderOutcome {
    /** The engine confirmed the order. */
    DONE,
    /** The engine tried to execute the order and failed. Nothing changed on the server. */
    FAILED,
    /**
     * The engine rejected the order because it has executed an order with a higher fencing token.
     */
    REFUSED_OLD_FENCE,
    /** The engine rejected the order because its server is leaving. */
    REFUSED_LEAVING,
    /** The order was not sent, and it cannot reach the engine. */
    NOT_SENT,
    /** The engine did not answer. The order may have taken effect or may still do so. */
    UNKNOWN
}
