package org.tarragonlug.decision.membership;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.InstanceId;

/**
 * The live members as one process sees them, ordered by instance id.
 *
 * @param self the own instance
 * @param members live members, the own one included
 */
public record MemberView(InstanceId self, List<Member> members) {
    public MemberView {
        members = List.copyOf(members);
    }

    /** Finds a live member. */
    public Optional<Member> member(InstanceId instance) {
        return members.stream().filter(member -> member.instance().equals(instance)).findFirst();
    }
}
