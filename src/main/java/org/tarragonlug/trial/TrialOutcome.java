package org.tarragonlug.trial;

/** How a request of the trial ended. */
enum TrialOutcome {
    /** The whole right answer came. */
    ANSWERED,
    /** A typed refusal came. */
    REFUSED,
    /** An answer came that is incomplete or belongs to another request. */
    WRONG,
    /** No answer came before the deadline and a margin. */
    LOST,
    /** The connection broke because the trial killed the entry instance meanwhile. */
    BROKEN_BY_KILL
}
