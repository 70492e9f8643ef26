package org.tarragonlug.decision.forwarding;

import org.tarragonlug.id.ServiceName;

/**
 * One target of a route.
 *
 * @param service where requests go
 * @param weight share of the requests, relative to the other targets of the route
 */
public record WeightedService(ServiceName service, int weight) {}
