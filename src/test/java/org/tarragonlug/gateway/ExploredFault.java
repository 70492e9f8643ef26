package org.tarragonlug.gateway;

/** What must not happen to a request, in whatever order events come. */
enum ExploredFault {
    /** Servers have begun the request more often than it may run. */
    BEGUN_TOO_OFTEN,
    /** The caller was told that the request has not run and will not, and a server began it. */
    BEGUN_THOUGH_PROMISED,
    /** The request was sent while an earlier send of it had neither ended nor been cancelled. */
    AT_TWO_SERVERS,
    /** The request has ended more than once, or after its caller had left. */
    ENDED_TWICE,
    /** The time of the request is over, and its caller has got nothing. */
    NOT_ENDED,
    /** The caller got an answer of a server, and the server of the last send has sent none. */
    FOREIGN_ANSWER
}
