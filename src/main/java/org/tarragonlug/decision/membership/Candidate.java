package org.tarragonlug.decision.membership;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * An instance that may run a member, as settings or the instance list name it.
 *
 * @param instance its id
 * @param address its peer address as {@code host:port}
 * @param failureDomain where it stands
 */
public record Candidate(InstanceId instance, String address, FailureDomain failureDomain) {}
