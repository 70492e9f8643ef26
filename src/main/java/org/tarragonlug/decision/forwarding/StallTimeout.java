package org.tarragonlug.decision.forwarding;

import java.time.Duration;

/** How long an attempt may make no progress before its server counts as stalled. */
final class StallTimeout {
    /** A stream that has begun counts as stalled after a pause of this length. */
    private static final Duration STREAM_PAUSE = Duration.ofMillis(1200);

    private static final Duration MIN_STREAM_START = Duration.ofMillis(1000);
    private static final Duration MIN_ANSWER = Duration.ofMillis(350);

    /** Time until the first event of a stream, in halves of the target latency. */
    private static final int STREAM_START_IN_HALF_TARGETS = 3;

    /** Time until an answer that is no stream, in target latencies. */
    private static final int ANSWER_IN_TARGETS = 3;

    private StallTimeout() {}

    /**
     * Returns the timeout of an attempt.
     *
     * @param route the route of the request
     * @param streaming whether the server has begun a stream of events
     */
    static Duration of(ForwardingRoute route, boolean streaming) {
        if (streaming) {
            return STREAM_PAUSE;
        }
        Duration target = route.targetLatency();
        if (route.kind() == RequestKind.STREAMING) {
            Duration start = target.multipliedBy(STREAM_START_IN_HALF_TARGETS).dividedBy(2);
            return longer(MIN_STREAM_START, start);
        }
        return longer(MIN_ANSWER, target.multipliedBy(ANSWER_IN_TARGETS));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
