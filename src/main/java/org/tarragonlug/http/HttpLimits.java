package org.tarragonlug.http;

import java.time.Duration;

/**
 * Limits of HTTP calls.
 *
 * @param connectTimeout longest time to make a connection
 * @param responseTimeout longest time of a short call, from its start to the end of the answer
 * @param maximumAnswerBytes largest answer accepted, bytes
 * @param unusedAfter a pool without calls for this long is closed
 */
public record HttpLimits(
        Duration connectTimeout,
        Duration responseTimeout,
        int maximumAnswerBytes,
        Duration unusedAfter) {
    /**
     * Limits for calls within a region. 8 MiB leaves room for a list of several objects of 1 MB;
     * larger kinds are listed by name.
     */
    public static final HttpLimits DEFAULT =
            new HttpLimits(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    8 * 1024 * 1024,
                    Duration.ofMinutes(2));
}
