package org.tarragonlug.trial;

/** Outcome of a request of the trial. */
enum TrialOutcome {
    /** The complete and correct answer was received. */
    ANSWERED,
    /** A refusal with an error code was received. */
    REFUSED,
    /** An answer was received that is malformed, incomplete or belongs to another request. */
    WRONG,
    /** No answer was received before the deadline plus a margin, or the connection failed. */
    LOST,
    /** The connection broke because the trial killed the entry instance during the request. */
    BROKEN_BY_KILL
}
