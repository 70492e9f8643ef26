package org.tarragonlug.decision.watching;

import org.tarragonlug.id.FailureDomain;

/**
 * What an instance tells the planner about itself.
 *
 * @param failureDomain failure domain of the instance
 * @param address address for connections from other instances, {@code host:port}
 * @param capacity processor time that the instance may use, in cores
 */
public record WatchCandidate(FailureDomain failureDomain, String address, double capacity) {}
