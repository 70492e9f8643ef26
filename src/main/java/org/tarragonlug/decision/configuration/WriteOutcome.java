package org.tarragonlug.decision.configuration;

/** How a conditional write ended, as far as its sender knows. */
public enum WriteOutcome {
    /** It took effect. */
    DONE,
    /** The object had another version; it did not take effect. */
    CONFLICT,
    /** It certainly did not take effect. */
    FAILED,
    /** Its answer was lost; it may have taken effect or may still do so. */
    UNKNOWN
}
