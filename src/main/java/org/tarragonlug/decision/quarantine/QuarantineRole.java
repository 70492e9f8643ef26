package org.tarragonlug.decision.quarantine;

/** What an instance does with evidence on crashing requests. */
public enum QuarantineRole {
    /** The instance plans: it receives the evidence of all instances, and decides for all. */
    DECIDES(true),
    /** The instance reports its evidence and applies what the deciding instance announces. */
    FOLLOWS(false),
    /** The instance hears of no deciding instance, so it decides for itself. */
    ALONE(true);

    private final boolean convicts;

    QuarantineRole(boolean convicts) {
        this.convicts = convicts;
    }

    /** Returns whether the instance draws conclusions from its evidence. */
    boolean convicts() {
        return convicts;
    }
}
