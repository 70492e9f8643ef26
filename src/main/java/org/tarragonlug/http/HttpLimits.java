package org.tarragonlug.http;

import java.time.Duration;

/**
 * Limits for HTTP calls.
 *
 * @param connectTimeout longest time to open a connection
 * @param responseTimeout longest time from the start of a short call to the end of its answer
 * @param maximumAnswerBytes size of the largest accepted answer, in bytes
 * @param maximumHeldBytes bytes of incomplete answers that all calls together keep in memory
 * @param unusedAfter time without calls after which a pool is closed
 */
public record HttpLimits(
        Duration connectTimeout,
        Duration responseTimeout,
        int maximumAnswerBytes,
        long maximumHeldBytes,
        Duration unusedAfter) {
    /**
     * Limits for calls within a region. An answer of 8 MiB has room for a list of several objects
     * of 1 MB; objects of larger kinds are listed by name only. All calls together keep as much as
     * two such answers.
     */
    public static final HttpLimits DEFAULT =
            new HttpLimits(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    8 * 1024 * 1024,
                    16 * 1024 * 1024,
                    Duration.ofMinutes(2));
}
