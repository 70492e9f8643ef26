package org.tarragonlug.soak;

/** What must hold in a soak. */
enum Check {
    /** A request that must not be repeated begins once at most over all servers. */
    RUN_ONCE,
    /** A request that was answered as not run never begins, before or later. */
    REFUSED_IS_NOT_RUN,
    /** A server runs only what a caller has sent. */
    SENT_BY_A_CALLER,
    /** A server runs only requests of routes to its service. */
    OWN_SERVICE,
    /** A stream does not go on at another server while the first one works on it. */
    STREAM_AT_ONE_SERVER,
    /** After a stream has ended for its caller, no server works on it any more. */
    STREAM_ENDED_AT_SERVERS,
    /** An answer belongs to the request of its caller. */
    OWN_ANSWER,
    /** An answer that looks complete is complete; events come once and in order. */
    WHOLE_ANSWER,
    /** A proper request is not answered as improper. */
    PROPER_STATUS,
    /** A request ends by its deadline. */
    ENDS_IN_TIME,
    /**
     * A request that a server has is answered wholly unless the server breaks off, its time is over
     * or the grace time of a stop ends; here around actions of an operator.
     */
    LOST_AROUND_OPERATOR_ACTION,
    /** The same at other times. */
    LOST_ANSWER,
    /** A configuration that the store has acknowledged is applied in time, and stays applied. */
    CONFIGURATION_APPLIED,
    /** A server that has said that it leaves gets no requests after some time. */
    LEFT_SERVER,
    /** One holder at a time gives orders to a server. */
    ORDER_HOLDERS,
    /** A gateway process ends only by a signal. */
    GATEWAY_LIVES,
    /** After the last fault, all gateways serve requests of all kinds again. */
    RECOVERY
}
