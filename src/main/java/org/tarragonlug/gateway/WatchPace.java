package org.tarragonlug.gateway;

import java.time.Duration;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.platform.PlatformObjectApi;

/**
 * How often a watcher of the store asks, by what the instance does with the changes.
 *
 * <p>A connection that went silent shows itself only by a missing answer. At worst it goes silent
 * just after the answer to a watch. Then the pause, the wait of the next watch, the time for its
 * answer and a list on a new connection pass before the instance knows again what the store holds.
 * Their sum must stay below {@link WatchLimits#silenceLimit}, so the wait is what the other steps
 * leave of it.
 */
enum WatchPace {
    /** Changes are needed at once, because this instance plans or has just started. */
    PROMPT(Duration.ofMillis(3000), Duration.ofMillis(60)),
    /** Other instances rely on this one, so its view must be confirmed often. */
    SOURCE(Duration.ofMillis(600), Duration.ofMillis(400)),
    /** Another instance answers the watches, which must show soon that it still does. */
    FOLLOWER(Duration.ofMillis(800), Duration.ofMillis(400)),
    /** Notices of the planner announce the urgent changes. */
    ALONE(Duration.ofMillis(3000), Duration.ofMillis(1100)),
    /**
     * Changes are rare, and other instances tell of them sooner. The watch does not find out by
     * itself that its connection is silent; it begins anew when another watch does.
     */
    RARE(Duration.ofMillis(30_000), Duration.ofMillis(60));

    /** Time for the list on a new connection, and for what the instance then does with it. */
    private static final Duration LIST_TIME = Duration.ofMillis(400);

    /** Shortest wait, so that a very low limit does not lead to calls without end. */
    private static final Duration MIN_WAIT = Duration.ofMillis(200);

    private final Duration wait;
    private final Duration pause;

    WatchPace(Duration wait, Duration pause) {
        this.wait = wait;
        this.pause = pause;
    }

    /** Returns how long a watch waits for a change. */
    Duration longestWait(WatchLimits limits) {
        if (this == RARE) {
            return wait;
        }
        Duration remaining =
                limits.silenceLimit()
                        .minus(pause(limits))
                        .minus(PlatformObjectApi.ANSWER_TIMEOUT)
                        .minus(LIST_TIME);
        Duration longest = remaining.compareTo(wait) < 0 ? remaining : wait;
        return longest.compareTo(MIN_WAIT) < 0 ? MIN_WAIT : longest;
    }

    /**
     * Returns the pause after a watch, in which changes that occur close together gather. Half of
     * the time for news is left for their way and for requests that are being sent.
     */
    Duration pause(WatchLimits limits) {
        Duration longest = limits.newsLimit().dividedBy(2);
        return pause.compareTo(longest) < 0 ? pause : longest;
    }
}
