package org.tarragonlug.decision.request;

import java.time.Duration;

/**
 * Constants of the request decisions.
 *
 * @param serviceQueueLimit most requests waiting for one plain service
 * @param initialInFlight requests in flight at a server of which nothing is known yet
 * @param maximumInFlight most requests in flight at one server
 * @param progressTimeout longest time between two tokens, and least time to the first one
 * @param expiryMargin how long before the deadline an expiry is answered, at most a tenth of the
 *     timeout
 * @param tolerance how long after the deadline an end still counts as in time
 * @param demandPeriod time between two reports of demand for one artifact
 * @param bytesPerRoute bytes of bodies held for one route; one largest body is always allowed
 * @param retryShare retries allowed for each first attempt
 * @param retryReserve retries allowed beyond that
 * @param maximumAttemptsWithoutProgress most attempts of one request that make no progress
 * @param suspectRetention how long a suspect is remembered
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
    /** Values of docs/design.md where it names them. */
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
