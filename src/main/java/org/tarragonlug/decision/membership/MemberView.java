package org.tarragonlug.decision.membership;

import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.InstanceId;

/**
 * The live members from the point of view of one process, ordered by instance id.
 *
 * @param self the instance of this process
 * @param members live members, including this process
 */
public record MemberView(InstanceId self, List<Member> members) {
    public MemberView {
        members = List.copyOf(members);
    }

    /** Finds a live member by instance; empty if the instance is not in the view. */
    public Optional<Member> member(InstanceId instance) {
        return members.stream().filter(member -> member.instance().equals(instance)).findFirst();
    }
}
