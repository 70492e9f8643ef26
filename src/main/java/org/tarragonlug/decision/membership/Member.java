package org.tarragonlug.decision.membership;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * What is known about one member.
 *
 * @param instance the instance it runs on
 * @param process its process
 * @param address its peer address as {@code host:port}
 * @param failureDomain where it stands
 * @param incarnation raised by the member itself alone, to refute a suspicion; a new process starts
 *     with its start time in milliseconds, which is above all numbers of its predecessor
 * @param state what it is believed to be
 */
public record Member(
        InstanceId instance,
        ProcessId process,
        String address,
        FailureDomain failureDomain,
        long incarnation,
        MemberState state) {}
