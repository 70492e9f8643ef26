package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/** When the caller of a refused request should come back. */
final class RetryDelay {
    /** For requests that no server can receive at present. */
    static final Duration NOT_READY = Duration.ofMillis(500);

    /** For requests to a stopping instance; short, because another one can accept them at once. */
    static final Duration STOPPING = Duration.ofMillis(20);

    /** For requests that servers rejected for a reason that passes quickly. */
    static final Duration REJECTED = Duration.ofMillis(150);

    /** For requests that crash servers; they may be tried again when this time is over. */
    static final Duration QUARANTINED = Duration.ofSeconds(30);

    /** For requests whose key may become known, or end, with the next news of the store. */
    static final Duration KEY_NEWS = Duration.ofSeconds(1);

    /** Typical time for which a generation occupies a slot. */
    private static final Duration GENERATION_TIME = Duration.ofMillis(600);

    private RetryDelay() {}

    /**
     * Returns how long the generations that wait at a full server take to start. A caller that
     * comes back earlier finds the same queue, and most callers come back only once.
     */
    static Duration afterGenerations(ReportedLoad load) {
        Duration time =
                GENERATION_TIME.multipliedBy(load.waiting()).dividedBy(Math.max(1, load.slots()));
        return time.compareTo(REJECTED) > 0 ? time : REJECTED;
    }

    /**
     * Returns when a caller should come back to servers that want a pause. Callers return over the
     * time in which the servers get more and more requests again, not all at the end of the pause.
     *
     * @param remaining time to the end of the pause
     * @param hash a hash of the request, which determines the caller's place in that time
     */
    static Duration afterPause(Duration remaining, long hash) {
        long spreadMillis = ServerNotices.RETURN_TIME.toMillis();
        return remaining.plusMillis(Math.floorMod(hash, spreadMillis));
    }
}
