package org.tarragonlug.decision.request;

/** What the decider of a group does about an artifact that has no ready server. */
public enum ColdStart {
    /** Nothing was decided yet. */
    UNDECIDED,
    /** A replica is being loaded. */
    LOADING,
    /** No replica can be made ready at present. */
    UNAVAILABLE
}
