package org.tarragonlug.decision.membership;

import java.util.Optional;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * A claim about a member, spread with probes.
 *
 * <p>A claim replaces another one about the same instance if its incarnation is greater, or if it
 * is equal and its state is a later constant of {@link MemberState}.
 *
 * @param instance the instance
 * @param process the process running there
 * @param incarnation incarnation the claim is about
 * @param state the claimed state
 * @param origin address and failure domain; absent for members that settings or the instance list
 *     name, to save bytes
 */
public record MemberUpdate(
        InstanceId instance,
        ProcessId process,
        long incarnation,
        MemberState state,
        Optional<Candidate> origin) {
    /** Returns the same claim with another state. */
    MemberUpdate withState(MemberState newState) {
        return new MemberUpdate(instance, process, incarnation, newState, origin);
    }

    /** Tells whether this claim replaces one with the given incarnation and state. */
    public boolean supersedes(long otherIncarnation, MemberState otherState) {
        if (incarnation != otherIncarnation) {
            return incarnation > otherIncarnation;
        }
        return state.compareTo(otherState) > 0;
    }
}
