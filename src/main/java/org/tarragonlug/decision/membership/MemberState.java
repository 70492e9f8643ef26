package org.tarragonlug.decision.membership;

/**
 * Assumed state of a member. Of two claims with the same incarnation, the claim with the later
 * constant takes precedence.
 */
public enum MemberState {
    /** The member answers probes. */
    ALIVE,
    /**
     * The member did not answer a probe or its indirect probes; it still belongs to the live view.
     */
    SUSPECT,
    /** The member did not refute a suspicion in time; it no longer belongs to the live view. */
    DEAD,
    /** The member announced that it stops; it no longer belongs to the live view. */
    LEFT;

    /** Returns whether a member in this state belongs to the live view. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
