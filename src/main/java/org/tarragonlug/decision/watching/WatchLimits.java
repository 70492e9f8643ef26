package org.tarragonlug.decision.watching;

import java.time.Duration;

/**
 * What the platform allows an instance that learns of changes in the store.
 *
 * @param silenceLimit longest time after which connections that went silent may still hide changes
 * @param newsLimit longest time after which requests may still go by the state before a change
 * @param reportInterval time between two reports of a server to the store
 */
public record WatchLimits(Duration silenceLimit, Duration newsLimit, Duration reportInterval) {
    /** Limits for a platform that states none. */
    public static final WatchLimits DEFAULT =
            new WatchLimits(Duration.ofSeconds(3), Duration.ofSeconds(2), Duration.ofMillis(1200));
}
