package org.tarragonlug.decision.request;

import java.time.Duration;

/**
 * Limits, timeouts and periods of the request coordinator.
 *
 * @param serviceQueueLimit maximum number of requests waiting for one plain service
 * @param initialInFlight initial limit on requests in flight at one server
 * @param maximumInFlight upper bound of the limit on requests in flight at one server
 * @param progressTimeout maximum time between two tokens, and minimum of the timeout for the first
 *     token
 * @param expiryMargin how long before its deadline an expiring request is refused; reduced to a
 *     tenth of the request's timeout if that is shorter
 * @param tolerance how long after the deadline the end of a request still counts as in time
 * @param demandPeriod time between two demand reports for one artifact
 * @param bytesPerRoute maximum total size in bytes of the bodies held for one route; one body of
 *     the route's maximum size is always allowed
 * @param retryShare number of retries allowed for each first attempt
 * @param retryReserve number of retries allowed in addition to that share
 * @param maximumAttemptsWithoutProgress maximum number of attempts of one request that make no
 *     progress
 * @param suspectRetention how long a fingerprint remains a suspect
 */
public record RequestSettings(
        int serviceQueueLimit,
        int initialInFlight,
        int maximumInFlight,
        Duration progressTimeout,
        Duration expiryMargin,
        Duration tolerance,
        Duration demandPeriod,
        long bytesPerRoute,
        double retryShare,
        double retryReserve,
        int maximumAttemptsWithoutProgress,
        Duration suspectRetention) {
    /** Default values, taken from docs/design.md where it states them. */
    public static final RequestSettings DEFAULT =
            new RequestSettings(
                    1_000,
                    8,
                    256,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(25),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    64L << 20,
                    0.1,
                    3,
                    8,
                    Duration.ofMinutes(10));
}
