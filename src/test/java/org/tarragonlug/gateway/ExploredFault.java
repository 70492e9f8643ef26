package org.tarragonlug.gateway;

/** What must not happen to a request, in whatever order events come. */
enum ExploredFault {
    /** Servers have begun the request more often than it may run. */
    BEGUN_TOO_OFTEN,
    /** The caller was told that the request has not run and will not, and a server began it. */
    BEGUN_THOUGH_PROMISED,
    /**
     * The request was sent while as many earlier sends of it as it may have runs had neither ended
     * nor been cancelled.
     */
    AT_TWO_SERVERS,
    /** A second server has begun to stream its answer, and the send to the first one is open. */
    ANSWERED_BY_TWO,
    /** An event of a stream was missing, came twice, or came after the end of the stream. */
    EVENT_OUT_OF_ORDER,
    /** The request has ended more than once, or after its caller had left. */
    ENDED_TWICE,
    /** The request has ended, and a send of it is open. */
    OPEN_AFTER_END,
    /** All requests have ended, and a server counts as busy with one. */
    COUNTED_AFTER_END,
    /** The time of the request is over, and its caller has got nothing. */
    NOT_ENDED,
    /** The caller got an answer of a server, and the server of the last send has sent none. */
    FOREIGN_ANSWER
}
