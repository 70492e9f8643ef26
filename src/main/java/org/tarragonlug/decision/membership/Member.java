package org.tarragonlug.decision.membership;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * The state of one member, as known to this process.
 *
 * @param instance the instance that the member runs on
 * @param process the process of the member
 * @param address peer address of the member as {@code host:port}
 * @param failureDomain failure domain of the instance
 * @param incarnation number that only the member itself increases, in order to refute a suspicion;
 *     a new process starts with its start time in milliseconds, which is greater than all
 *     incarnations of its predecessor
 * @param state the assumed state
 */
public record Member(
        InstanceId instance,
        ProcessId process,
        String address,
        FailureDomain failureDomain,
        long incarnation,
        MemberState state) {}
