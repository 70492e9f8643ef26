package org.tarragonlug.decision.forwarding;

/** Whether an instance sends new requests to a server now and, if not, for what reason. */
public enum Availability {
    /** The server gets new requests. */
    AVAILABLE,
    /** The platform lists the server as leaving. */
    LISTED_AS_LEAVING,
    /** The server has said with an answer that it leaves. */
    SAID_IT_LEAVES,
    /** The server has asked for a pause that is not over. */
    PAUSED,
    /** The server has started or recovered, and has as many requests as it may have so soon. */
    RETURNING,
    /** Connections to the server fail at present. */
    UNREACHABLE;

    /**
     * Tells whether a request that was sent when the server was available may still be written. It
     * is counted among the requests in flight, and its own connection shows that the server can be
     * reached.
     */
    boolean admitsChosenRequest() {
        return staysInService() && this != PAUSED;
    }

    /** Tells whether the server goes on serving as far as it and the platform have said. */
    boolean staysInService() {
        return this != LISTED_AS_LEAVING && this != SAID_IT_LEAVES;
    }
}
