package org.tarragonlug.decision.capacity;

/** How an order ended, as far as its sender knows. */
public enum OrderOutcome {
    /** The engine confirmed it. */
    DONE,
    /** The engine tried and failed; nothing changed on the server. */
    FAILED,
    /** The engine refused it because it has seen a higher fencing number. */
    REFUSED_OLD_FENCE,
    /** The engine refused it because its server is leaving. */
    REFUSED_LEAVING,
    /** The order certainly never reached the engine. */
    NOT_SENT,
    /** No answer came; the order may still take effect. */
    UNKNOWN
}
