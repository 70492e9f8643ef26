package org.tarragonlug.decision.capacity;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A backend server of the group as the instance list and the settings describe it.
 *
 * @param server the server
 * @param failureDomain failure domain of the server
 * @param leaving whether the platform is about to remove the server
 * @param fencing how the engine of the server treats fencing tokens
 */
public record ListedServer(
        ServerId server, FailureDomain failureDomain, boolean leaving, FencingKind fencing) {}
