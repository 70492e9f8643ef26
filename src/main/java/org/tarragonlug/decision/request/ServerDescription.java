package org.tarragonlug.decision.request;

import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;

/**
 * A backend server as given in the instance list.
 *
 * @param server the server
 * @param failureDomain failure domain of the server
 * @param leaving whether the server is about to stop
 */
public record ServerDescription(ServerId server, FailureDomain failureDomain, boolean leaving) {}
