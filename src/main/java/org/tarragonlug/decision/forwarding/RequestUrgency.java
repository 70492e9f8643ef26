package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.Hasher;

/**
 * Ranks a request against others that wait at the same server; 0 is served first.
 *
 * <p>If a server gets more requests than it can serve in time, a queue in order of arrival makes
 * all of them late. Requests whose target ends soon are therefore divided at random into {@link
 * #SHORT_TIME_RANKS} ranks: the first ones are served in time, at the cost of the last ones. A
 * request that is late already gains nothing from being first and goes behind those that can still
 * be in time. Requests that waited until their model was loaded are few and have used up the time
 * that was left for them, so they go before the others, and before late ones if they are late
 * themselves.
 *
 * <p>The priority of the account or the route counts as well, but only by two ranks at most, so
 * that requests of a low priority do not starve.
 */
final class RequestUrgency {
    private static final int SHORT_TIME_RANKS = 3;

    /** A request with less time until its target gets one of several ranks at random. */
    private static final Duration SHORT_TIME_LEFT = Duration.ofMillis(600);

    private static final int AFTER_WAIT_FOR_MODEL = 1;
    private static final int LATE_AFTER_WAIT_FOR_MODEL = 2;
    private static final int FIRST_SHORT_TIME_RANK = 1;
    private static final int TIME_TO_SPARE = 2;
    private static final int LATE = 7;
    private static final int LARGEST_PRIORITY_SHARE = 2;

    private RequestUrgency() {}

    /** Returns the rank of a request that is sent now, from 0 to 9. */
    static int rank(PendingForward forward, Hasher hasher, Instant now) {
        int priority = Math.max(0, Math.min(LARGEST_PRIORITY_SHARE, forward.priority()));
        Duration left =
                Duration.between(now, forward.arrivedAt.plus(forward.route.targetLatency()));
        boolean late = left.isNegative() || left.isZero();
        if (forward.waitedForModel) {
            return priority + (late ? LATE_AFTER_WAIT_FOR_MODEL : AFTER_WAIT_FOR_MODEL);
        }
        if (late) {
            return priority + LATE;
        }
        if (left.compareTo(SHORT_TIME_LEFT) > 0) {
            return priority + TIME_TO_SPARE;
        }
        // The prefix makes this hash independent of other hashes of the same id.
        long hash = hasher.hash("lane " + forward.request.callerRequestId());
        long offset = Math.floorMod(hash, SHORT_TIME_RANKS);
        return priority + FIRST_SHORT_TIME_RANK + (int) offset;
    }
}
