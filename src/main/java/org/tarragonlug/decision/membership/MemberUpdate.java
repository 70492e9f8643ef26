package org.tarragonlug.decision.membership;

import java.util.Optional;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * A claim about the state of a member, disseminated with membership messages.
 *
 * <p>A claim replaces another claim about the same instance if its incarnation is greater, or if
 * the incarnations are equal and its state is a later constant of {@link MemberState}.
 *
 * @param instance the instance of the member
 * @param process the process that runs on the instance
 * @param incarnation incarnation that the claim refers to
 * @param state the claimed state
 * @param origin address and failure domain; empty for members listed in the settings or the
 *     instance list, to save bytes
 */
public record MemberUpdate(
        InstanceId instance,
        ProcessId process,
        long incarnation,
        MemberState state,
        Optional<Candidate> origin) {
    /** Returns a copy of this claim with another state. */
    MemberUpdate withState(MemberState newState) {
        return new MemberUpdate(instance, process, incarnation, newState, origin);
    }

    /** Returns whether this claim replaces a claim with the given incarnation and state. */
    public boolean supersedes(long otherIncarnation, MemberState otherState) {
        if (incarnation != otherIncarnation) {
            return incarnation > otherIncarnation;
        }
        return state.compareTo(otherState) > 0;
    }
}
