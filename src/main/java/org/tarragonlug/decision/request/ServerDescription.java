package org.tarragonlug.decision.request;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A backend server as the instance list shows it.
 *
 * @param server the server
 * @param failureDomain where it runs
 * @param leaving whether it is about to stop
 */
public record ServerDescription(ServerId server, FailureDomain failureDomain, boolean leaving) {}
