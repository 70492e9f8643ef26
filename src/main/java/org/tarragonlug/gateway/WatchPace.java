package org.tarragonlug.gateway;

import java.time.Duration;

/** How often a watcher of the store asks, by what the instance does with the changes. */
enum WatchPace {
    /** Changes are needed at once, because this instance plans or has just started. */
    PROMPT(Duration.ofMillis(3000), Duration.ofMillis(60)),
    /** Other instances rely on this one, so its view must be confirmed often. */
    SOURCE(Duration.ofMillis(600), Duration.ofMillis(400)),
    /** Another instance answers the watches, which must show soon that it still does. */
    FOLLOWER(Duration.ofMillis(800), Duration.ofMillis(400)),
    /** Notices of the planner announce the urgent changes. */
    ALONE(Duration.ofMillis(3000), Duration.ofMillis(1100)),
    /** Changes are rare, and other instances tell of them sooner. */
    RARE(Duration.ofMillis(30_000), Duration.ofMillis(60));

    private final Duration wait;
    private final Duration pause;

    WatchPace(Duration wait, Duration pause) {
        this.wait = wait;
        this.pause = pause;
    }

    /**
     * Returns how long a watch waits for a change. It is some seconds at most, because a connection
     * that no longer transmits anything can only be recognised by the missing answer.
     */
    Duration longestWait() {
        return wait;
    }

    /** Returns the pause after a watch, in which changes that occur close together gather. */
    Duration pause() {
        return pause;
    }
}
