package org.tarragonlug.decision.forwarding;

/** Whether a listed server takes new work. */
public enum ListedState {
    /** Takes new work. */
    READY,
    /** Finishes what it has and leaves. */
    LEAVING
}
