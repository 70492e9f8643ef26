package org.tarragonlug.decision.configuration;

/** Outcome of a conditional write, as far as the writer knows. */
public enum WriteOutcome {
    /** The write took effect. */
    DONE,
    /** The object had another version than expected, so the write did not take effect. */
    CONFLICT,
    /** The write certainly did not take effect. */
    FAILED,
    /** The answer was lost; the write may have taken effect or may still take effect. */
    UNKNOWN
}
