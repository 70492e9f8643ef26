package org.tarragonlug.decision.request;

/** What a route uses of its limits; outlives changes of the configuration. */
final class RouteUsage {
    final RateLimit rateLimit;
    long bytesHeld;

    RouteUsage(RateLimit rate) {
        this.rateLimit = rate;
    }
}
