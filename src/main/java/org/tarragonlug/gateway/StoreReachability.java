package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether this instance reaches the store, judged by the outcomes of its direct calls, and whether
 * its next call should go through a peer.
 *
 * <p>A single failure does not show that the store is unreachable, because a watch may be cut off
 * or a connection may break or go silent. It counts as unreachable after {@link
 * #FAILURES_UNTIL_UNREACHABLE} consecutive failures. Calls that were in progress together may fail
 * for the same broken connections, so a failure counts only if its call began after the failure
 * that was counted last.
 */
final class StoreReachability {
    private static final int FAILURES_UNTIL_UNREACHABLE = 2;

    /** How often a call is made directly while the store counts as unreachable. */
    private static final Duration DIRECT_RETRY_PERIOD = Duration.ofMillis(800);

    /** How long no call is relayed after one failed; longer than a direct call takes. */
    private static final Duration RELAY_PAUSE = Duration.ofMillis(1200);

    private int consecutiveFailures;
    private Instant lastFailureAt = Instant.EPOCH;
    private Instant nextDirectCallAt = Instant.EPOCH;
    private Instant nextRelayedCallAt = Instant.EPOCH;

    /** Returns whether the store counts as unreachable. */
    boolean isUnreachable() {
        return consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE;
    }

    /**
     * Decides how the next call is made. Of the calls that come while a direct call is due, only
     * the first is made directly; the others are relayed until its outcome is known.
     *
     * @return whether the call should go through a peer
     */
    boolean takeRelayedCall(Instant now) {
        if (!isUnreachable()) {
            return false;
        }
        if (!now.isBefore(nextDirectCallAt)) {
            nextDirectCallAt = now.plus(DIRECT_RETRY_PERIOD);
            return false;
        }
        return !now.isBefore(nextRelayedCallAt);
    }

    /** Records that a peer did not answer a relayed call, or could not make it. */
    void onRelayedCallFailed(Instant now) {
        nextRelayedCallAt = now.plus(RELAY_PAUSE);
    }

    /**
     * Records the outcome of a direct call.
     *
     * @param startedAt when the call began
     * @param reached whether the store answered it
     * @return whether the store has become reachable or unreachable by it
     */
    boolean onDirectCallEnded(Instant startedAt, boolean reached, Instant now) {
        boolean wasUnreachable = isUnreachable();
        if (reached) {
            consecutiveFailures = 0;
        } else if (consecutiveFailures == 0 || !startedAt.isBefore(lastFailureAt)) {
            consecutiveFailures++;
            lastFailureAt = now;
        }
        if (isUnreachable()) {
            nextDirectCallAt = now.plus(DIRECT_RETRY_PERIOD);
        }
        return isUnreachable() != wasUnreachable;
    }
}
