package org.tarragonlug.decision.membership;

/**
 * What a member is believed to be; of two claims with equal incarnation the later constant wins.
 */
public enum MemberState {
    /** It answers probes. */
    ALIVE,
    /** It missed a probe and its indirect probes; it still belongs to the live view. */
    SUSPECT,
    /** It stayed suspect for too long; it is outside of the live view. */
    DEAD,
    /** It announced that it stops; it is outside of the live view. */
    LEFT;

    /** Tells whether a member in this state belongs to the live view. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
