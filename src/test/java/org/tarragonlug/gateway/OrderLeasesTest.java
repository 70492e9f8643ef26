package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.decision.ownership.OrderGroups;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Hash4jHasher;
import org.tarragonlug.runtime.ManualTimers;

class OrderLeasesTest {
    private static final Duration TURN = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(200);
    private static final OrderGroup GROUP = new OrderGroup(0);
    private static final InstanceId HOLDER = new InstanceId("holder");
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");

    private final ManualTimers timers = new ManualTimers();
    private final InMemoryObjectApi store = new InMemoryObjectApi();
    private final Deque<Runnable> loop = new ArrayDeque<>();
    private final OrderLeases first = leases(FIRST);
    private final OrderLeases second = leases(SECOND);

    private OrderLeases leases(InstanceId instance) {
        OrderGroups groups = new OrderGroups(new Hash4jHasher(), 1);
        return new OrderLeases(
                instance, instance + "-1", "10.0.0.1:1", TURN, true, 1, groups, timers);
    }

    @BeforeEach
    void start() {
        LeaseRecord held =
                new LeaseRecord(
                        HOLDER, "holder-1", "10.0.0.9:1", new FencingToken(3), 1, true, false, 40);
        store.put(PlatformKinds.orderLease(GROUP), StoredLease.encode(held), 40);
        for (OrderLeases leases : List.of(first, second)) {
            leases.start(store, loop::add, new EventLog("test"));
            tick(leases);
        }
    }

    private void tick(OrderLeases leases) {
        leases.tick();
        while (!loop.isEmpty()) {
            loop.poll().run();
        }
    }

    private static List<GatewayMessage.LeaseStatus> ownNotice() {
        return List.of(new GatewayMessage.LeaseStatus(GROUP, true, StorePosition.of(40), ""));
    }

    @Nested
    class HolderHeartbeats {
        // Guards against a live holder that counts as gone: what it stated about a renewal before
        // arrives after what it stated about the last one.
        @Test
        void keepsHolderAliveWhenStatementAboutEarlierRenewalArrives() {
            first.onLeaseNotices(
                    HOLDER,
                    List.of(new GatewayMessage.LeaseStatus(GROUP, true, StorePosition.of(42), "")));
            first.onLeaseNotices(
                    HOLDER,
                    List.of(
                            new GatewayMessage.LeaseStatus(
                                    GROUP, false, StorePosition.of(40), "")));
            assertEquals(1, first.leaseNotices().size());
        }

        /**
         * An instance that sends its reports only to the planner receives no messages from the
         * other holders. If the planner did not pass on their heartbeats, the instance would treat
         * them as dead and would keep reading their leases from the store.
         */
        @Test
        void skipsStoreReadsWhenAnotherInstanceReportsHolderAlive() {
            first.onLeaseNotices(HOLDER, ownNotice());
            assertEquals(1, first.leaseNotices().size());
            assertEquals(HOLDER.value(), first.leaseNotices().get(0).holder());
            int before = store.readCalls;
            second.onLeaseNotices(FIRST, first.leaseNotices());
            timers.advance(STEP);
            tick(second);
            assertEquals(before, store.readCalls);
        }

        /**
         * Guards against two instances that keep a dead holder alive: each would refresh its
         * heartbeat from the notice of the other if it also passed on heartbeats that it had
         * received indirectly.
         */
        @Test
        void stopsReportingHolderAliveSoonAfterItFallsSilent() {
            first.onLeaseNotices(HOLDER, ownNotice());
            for (int step = 0; step < 20; step++) {
                timers.advance(STEP);
                second.onLeaseNotices(FIRST, first.leaseNotices());
                first.onLeaseNotices(SECOND, second.leaseNotices());
            }
            assertTrue(first.leaseNotices().isEmpty(), () -> first.leaseNotices().toString());
            assertTrue(second.leaseNotices().isEmpty(), () -> second.leaseNotices().toString());
        }

        /**
         * Guards against seconds without planning while instances are replaced in turn: the next
         * planner waited until the heartbeat of the stopping one had expired.
         */
        @Test
        void holderThatReleasesItsLeaseDoesNotCountAsAlive() {
            first.onLeaseNotices(HOLDER, ownNotice());
            first.onLeaseNotices(
                    HOLDER,
                    List.of(
                            new GatewayMessage.LeaseStatus(
                                    GROUP, false, StorePosition.of(40), "")));
            assertTrue(first.leaseNotices().isEmpty());
            GatewayMessage.LeaseStatus passedOn =
                    new GatewayMessage.LeaseStatus(
                            GROUP, true, StorePosition.of(40), HOLDER.value());
            first.onLeaseNotices(SECOND, List.of(passedOn));
            assertTrue(first.leaseNotices().isEmpty());
        }
    }

    @Nested
    class StatementsOfTwoEras {
        private static final StorePosition BEFORE = new StorePosition(new StoreEra(1), 42);
        private static final StorePosition AFTER = new StorePosition(new StoreEra(2), 40);

        private void state(boolean holding, StorePosition renewedAt) {
            first.onLeaseNotices(
                    HOLDER, List.of(new GatewayMessage.LeaseStatus(GROUP, holding, renewedAt, "")));
        }

        // Guards against a live holder that counts as gone: it stopped in the era before, and its
        // renewal in the present era has a lower revision.
        @Test
        void holderThatRenewsInNextEraCountsAsAlive() {
            first.onStoreEra(BEFORE.era());
            state(false, BEFORE);
            first.onStoreEra(AFTER.era());
            state(true, AFTER);
            assertEquals(1, first.leaseNotices().size());
            assertEquals(AFTER, first.leaseNotices().get(0).renewedAt());
        }

        // Guards against a holder that counts as alive after it has stopped: its renewal of the era
        // before has the higher revision.
        @Test
        void releaseInNextEraCountsAfterHeartbeatOfEraBefore() {
            first.onStoreEra(BEFORE.era());
            state(true, BEFORE);
            first.onStoreEra(AFTER.era());
            state(false, AFTER);
            assertTrue(first.leaseNotices().isEmpty());
        }
    }
}
