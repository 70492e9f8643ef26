package org.tarragonlug.decision;

/** The invariants of the system (docs/design.md, section 1.2). */
public enum Invariant {
    /** I1: no more replicas of a model are loaded than were decided. */
    REPLICAS_WITHIN_DECISION,
    /** I2: the memory of a backend server is never overcommitted. */
    MEMORY_NOT_OVERCOMMITTED,
    /** I3: a waiting request is served or refused in time, never dropped. */
    REQUEST_ANSWERED_IN_TIME,
    /** I4: a caller gets the complete answer to its own request. */
    ANSWER_COMPLETE,
    /** I5: a refusal that says "not run" is true. */
    REFUSAL_TRUE,
    /** I6: a non-idempotent request runs at most once. */
    AT_MOST_ONCE,
    /** I7: a leaving backend server gets no new work after a few seconds. */
    LEAVING_SERVER_NO_NEW_WORK,
    /** I8: a planned stop interrupts no request in progress. */
    GRACEFUL_SHUTDOWN,
    /** I9: an accepted configuration never reverts. */
    CONFIGURATION_NEVER_REVERTS
}
