package org.tarragonlug.decision.request;

/** What the decider of a server group does about an artifact without a ready server. */
public enum ColdStart {
    /** The decider has not decided yet. */
    UNDECIDED,
    /** A replica is being loaded. */
    LOADING,
    /** No replica can be made ready at present. */
    UNAVAILABLE
}
