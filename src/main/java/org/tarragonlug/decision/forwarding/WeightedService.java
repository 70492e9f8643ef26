package org.tarragonlug.decision.forwarding;

import org.tarragonlug.id.ServiceName;

/**
 * A target service of a route and its weight.
 *
 * @param service service that receives the requests
 * @param weight share of the route's requests, relative to the weights of the other targets
 */
public record WeightedService(ServiceName service, int weight) {}
