package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestId;

/**
 * Guards against checks of a store that returns from older copies that let pass what they are there
 * to find, or find what is allowed.
 */
class RestoredStoreChecksTest {
    private static final int GATEWAY = 1;
    private static final long START = 100_000;
    private static final long APPLIED = START + AppliedVersions.APPLY_MILLIS + 1;
    private static final long DRAINED = START + LeftServers.DRAIN_MILLIS + 301;

    private final SoakChecker checker = new SoakChecker(6000);
    private int requests;

    private void assertFound(Check... checks) {
        assertEquals(List.of(checks), checker.findings().stream().map(Finding::check).toList());
    }

    private void store(int version, long millis) {
        checker.onVersionSent(version);
        checker.onVersionStored(version, millis);
    }

    private RequestId send(int route, long millis) {
        requests++;
        RequestId id = new RequestId("c1-" + requests + "-1");
        checker.onSent(id, RequestKind.ADDED, route, GATEWAY, millis);
        return id;
    }

    private void notFound(int route, long sentMillis) {
        CallerAnswer answer = new CallerAnswer(404, Map.of(), "", true);
        checker.onAnswer(send(route, sentMillis), answer, sentMillis + 10);
    }

    private void run(int route, long sentMillis) {
        ServerArrival arrival = new ServerArrival(send(route, sentMillis), "records-1", 1, 0);
        checker.onBegun(arrival, "records", sentMillis + 5);
    }

    @Nested
    class Configurations {
        // Guards against a route that stays unknown for good after the store has returned.
        @Test
        void routeOfAnAcknowledgedVersionMustBeKnown() {
            store(5, START);
            notFound(5, APPLIED - 1);
            assertFound();
            notFound(5, APPLIED);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against findings for routes that a later version has dropped.
        @Test
        void routeOfADroppedVersionMayBeUnknown() {
            store(5, START);
            checker.onVersionSent(8);
            notFound(5, APPLIED);
            assertFound();
        }

        // Guards against a dropped route that a gateway with an old version still serves.
        @Test
        void droppedRouteMustNotRun() {
            store(8, START);
            run(5, APPLIED - 1);
            run(6, APPLIED);
            assertFound();
            run(5, APPLIED);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against findings while the store has lost the version, and for a missed return.
        @Test
        void versionThatTheStoreHasLostCountsFromItsNextWrite() {
            store(5, START);
            checker.onStoreRestored(4);
            notFound(5, APPLIED);
            store(5, START + 20_000);
            notFound(5, APPLIED + 20_000 - 1);
            assertFound();
            notFound(5, APPLIED + 20_000);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against findings while the store is away, and against an unbounded excuse.
        @Test
        void impairedStoreExcusesForAWhile() {
            checker.onStoreImpaired(true, true, START - 1000);
            checker.onStoreImpaired(false, true, START - 500);
            store(5, START);
            notFound(5, APPLIED);
            notFound(5, APPLIED + 400);
            assertFound();
            notFound(5, APPLIED + 500);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against a store whose watches end again and again as an excuse for ever.
        @Test
        void stretchIsBounded() {
            checker.onStoreImpaired(true, false, START);
            store(5, START);
            notFound(5, APPLIED + 5000 - 1);
            assertFound();
            notFound(5, APPLIED + 5000);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against findings at gateways that were just started, ended or paused.
        @Test
        void disturbedGatewayIsExcused() {
            store(5, START);
            checker.onStarted(GATEWAY, APPLIED - 1000);
            notFound(5, APPLIED);
            assertFound();
            notFound(5, APPLIED + 2001);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against a gateway that takes an older configuration from the copy.
        @Test
        void gatewayMustNotGoBackInOneLife() {
            store(5, START);
            checker.onStarted(GATEWAY, START);
            run(5, START + 100);
            run(2, START + 300);
            assertFound();
            run(2, START + 500);
            assertFound(Check.CONFIGURATION_APPLIED);
        }

        // Guards against a finding for a new process, which knows nothing of the one before.
        @Test
        void newProcessMayBeginWithAnOlderVersion() {
            store(5, START);
            checker.onStarted(GATEWAY, START);
            run(5, START + 100);
            checker.onStarted(GATEWAY, START + 400);
            run(2, START + 500);
            assertFound();
        }
    }

    @Nested
    class Leaving {
        private void arrive(long millis) {
            RequestId id = new RequestId("c2-" + millis + "-1");
            checker.onSent(id, RequestKind.READ, GATEWAY, millis);
            checker.onBegun(new ServerArrival(id, "records-2", 1, 0), "records", millis);
        }

        // Guards against requests to a server that has said long ago that it leaves.
        @Test
        void serverThatLeavesMustGetNoRequestsLater() {
            checker.onLeavingStored("records-2", START);
            arrive(DRAINED - 1);
            assertFound();
            arrive(DRAINED);
            assertFound(Check.LEFT_SERVER);
        }

        // Guards against a leaving that is forgotten since the copy lacks it.
        @Test
        void leavingThatTheStoreHasLostStillHolds() {
            checker.onLeavingStored("records-2", START);
            checker.onStoreRestored(1);
            arrive(DRAINED);
            assertFound(Check.LEFT_SERVER);
        }

        // Guards against findings at a gateway that can't know, and against refusals for others.
        @Test
        void pausedGatewayAndMisdirectedRequestAreExcused() {
            checker.onLeavingStored("records-2", START);
            checker.onPaused(GATEWAY, DRAINED - 1000);
            checker.onResumed(GATEWAY, DRAINED - 900);
            arrive(DRAINED);
            RequestId id = new RequestId("c3-1-1");
            checker.onSent(id, RequestKind.READ, 0, DRAINED);
            checker.onRefused(new ServerArrival(id, "records-2", 1, 0), 421, DRAINED);
            assertFound();
        }
    }

    @Nested
    class Orders {
        private void order(int gateway, long token, long millis) {
            checker.onOrder("engines-1", "gateway-" + gateway, token, millis);
        }

        // Guards against two holders of which each takes itself for the only one.
        @Test
        void tokenBelongsToOneHolder() {
            order(1, 7, START);
            order(2, 7, START + 10_000);
            assertFound(Check.ORDER_HOLDERS);
        }

        // Guards against a token that was given out again from a copy.
        @Test
        void tokenMustNotGoBack() {
            order(1, 7, START);
            order(2, 6, START + 10_000);
            assertFound(Check.ORDER_HOLDERS);
        }

        // Guards against two holders that order at the same time, and findings for a hand-over.
        @Test
        void holdersMustNotTakeTurns() {
            order(1, 7, START);
            order(2, 8, START + 1000);
            assertFound();
            order(1, 9, START + OrderHolders.LEASE_MILLIS);
            assertFound();
            order(2, 10, START + OrderHolders.LEASE_MILLIS + 100);
            assertFound(Check.ORDER_HOLDERS);
        }

        // Guards against a finding for each of many orders of one wrong holder.
        @Test
        void sameFindingIsReportedOnce() {
            order(1, 7, START);
            order(2, 7, START + 10_000);
            order(2, 7, START + 10_100);
            assertFound(Check.ORDER_HOLDERS);
        }

        // Guards against findings for orders that a paused process had begun to write.
        @Test
        void ordersOfAResumedGatewayAreExcused() {
            order(1, 7, START);
            checker.onPaused(1, START + 100);
            order(2, 8, START + 10_000);
            checker.onResumed(1, START + 10_100);
            order(1, 7, START + 10_300);
            assertFound();
        }
    }
}
