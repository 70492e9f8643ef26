package org.tarragonlug.decision.request;

/** Current usage of a route's limits, which is kept across configuration changes. */
final class RouteUsage {
    final RateLimit rateLimit;
    long bytesHeld;

    RouteUsage(RateLimit rateLimit) {
        this.rateLimit = rateLimit;
    }
}
