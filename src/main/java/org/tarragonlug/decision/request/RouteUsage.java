package org.tarragonlug.decision.request;

/** What a route uses of its limits; outlives changes of the configuration. */
final class RouteUsage {
    final RateLimit rate;
    long bytesHeld;

    RouteUsage(RateLimit rate) {
        this.rate = rate;
    }
}
