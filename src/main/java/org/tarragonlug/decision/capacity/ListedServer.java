package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A backend server of the group as the instance list and the settings describe it.
 *
 * @param server the server
 * @param failureDomain where it stands
 * @param leaving whether the platform is about to take it away
 * @param fencing what its engine does with fencing numbers
 */
public record ListedServer(
        ServerId server, FailureDomain failureDomain, boolean leaving, FencingKind fencing) {}
