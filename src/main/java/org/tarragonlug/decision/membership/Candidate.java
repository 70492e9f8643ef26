package org.tarragonlug.decision.membership;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * An instance that may run a member, as listed in the settings or in the instance list.
 *
 * @param instance id of the instance
 * @param address peer address of the instance as {@code host:port}
 * @param failureDomain failure domain of the instance
 */
public record Candidate(InstanceId instance, String address, FailureDomain failureDomain) {}
