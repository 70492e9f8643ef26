package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** When calls to the store go through a peer. */
class StoreReachabilityTest {
    private final StoreReachability reachability = new StoreReachability();
    private Instant now = Instant.ofEpochSecond(1000);

    private boolean fail(Instant startedAt) {
        return reachability.onDirectCallEnded(startedAt, false, now);
    }

    private void becomeUnreachable() {
        fail(now);
        fail(now);
        assertTrue(reachability.isUnreachable());
    }

    // Guards against relays because of one connection that broke under several calls.
    @Test
    void callsThatFailTogetherCountOnce() {
        Instant begin = now;
        now = now.plusMillis(10);
        assertFalse(fail(begin));
        assertFalse(fail(begin));
        assertFalse(reachability.isUnreachable());
        assertTrue(fail(now));
    }

    // Guards against many direct calls at once to a store that does not answer.
    @Test
    void oneCallOfAPeriodIsDirect() {
        becomeUnreachable();
        assertTrue(reachability.takeRelayedCall(now));
        now = now.plusMillis(800);
        assertFalse(reachability.takeRelayedCall(now));
        assertTrue(reachability.takeRelayedCall(now));
    }

    // Guards against a call that waits for a peer just after a peer has not answered.
    @Test
    void callsAreDirectAfterARelayedOneFailed() {
        becomeUnreachable();
        reachability.onRelayedCallFailed(now);
        assertFalse(reachability.takeRelayedCall(now));
    }

    // Guards against an instance that goes on relaying although it reaches the store.
    @Test
    void answerOfTheStoreEndsTheRelay() {
        becomeUnreachable();
        assertTrue(reachability.onDirectCallEnded(now, true, now));
        assertFalse(reachability.takeRelayedCall(now));
        assertEquals(false, reachability.isUnreachable());
    }
}
