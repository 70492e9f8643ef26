package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.peer.GatewayMessage;

class PendingNoticesTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ModelKey RARE = new ModelKey("rare", "");
    private static final ModelKey OTHER = new ModelKey("other", "");
    private static final Instant START = Instant.ofEpochSecond(100);

    private final PendingNotices pendingNotices = new PendingNotices();

    private static ModelDemand waitingFor(ModelKey key) {
        Duration limit = Duration.ofSeconds(5);
        return new ModelDemand(SERVICE, key, 1, 1, 0, limit, limit);
    }

    private static InstanceId instance(int number) {
        return new InstanceId("instance-" + number);
    }

    private static GatewayMessage.ReplicaChange replica(ModelKey key, boolean held) {
        return new GatewayMessage.ReplicaChange(new ServerId("s-1"), key, held);
    }

    @Nested
    class Replicas {
        /**
         * If every change were sent to every instance at once, the number of messages would grow
         * with the square of the size of the deployment.
         */
        @Test
        void loadedReplicaIsUrgentOnlyForInstancesThatWaitForIt() {
            for (int number = 0; number < 74; number++) {
                ModelKey key = number == 7 ? RARE : OTHER;
                pendingNotices.onReport(instance(number), List.of(waitingFor(key)), START);
            }
            pendingNotices.add(replica(RARE, true));
            assertEquals(Set.of(instance(7)), pendingNotices.urgentReceivers());
        }

        @Test
        void pollReturnsReplicaChangesOnceAndInOrder() {
            pendingNotices.onReport(instance(1), List.of(), START);
            pendingNotices.add(replica(RARE, true));
            pendingNotices.add(replica(RARE, false));
            PendingNotices.Notices notices = pendingNotices.poll(instance(1));
            assertEquals(List.of(replica(RARE, true), replica(RARE, false)), notices.replicas());
            assertEquals(List.of(), pendingNotices.poll(instance(1)).replicas());
        }

        /** No request can stop waiting because a model was unloaded. */
        @Test
        void unloadedReplicaIsNotUrgent() {
            pendingNotices.onReport(instance(1), List.of(waitingFor(RARE)), START);
            pendingNotices.add(replica(RARE, false));
            assertEquals(Set.of(), pendingNotices.urgentReceivers());
        }
    }

    @Nested
    class Reporters {
        @Test
        void removesReportersThatFellSilent() {
            pendingNotices.onReport(instance(1), List.of(), START);
            pendingNotices.onReport(instance(2), List.of(), START.plusSeconds(3));
            assertEquals(1, pendingNotices.reporterCount(START.plusSeconds(5)));
        }
    }

    @Nested
    class State {
        private static final List<GatewayMessage.LeaseStatus> LEASES =
                List.of(
                        new GatewayMessage.LeaseStatus(
                                new OrderGroup(0), true, StorePosition.of(7), ""));
        private static final List<GatewayMessage.LeaseStatus> RELEASED =
                List.of(
                        new GatewayMessage.LeaseStatus(
                                new OrderGroup(0), false, StorePosition.of(7), ""));
        private static final Set<ServerId> SUSPECTED = Set.of(new ServerId("s-1"));

        private boolean isDue(
                List<GatewayMessage.LeaseStatus> leases, Set<ServerId> suspected, int millis) {
            return pendingNotices.isStateDue(
                    instance(1), leases, suspected, START.plusMillis(millis));
        }

        /** Guards against notices about single models that each carry the load of all servers. */
        @Test
        void stateIsSentOnceInAnInterval() {
            pendingNotices.onReport(instance(1), List.of(), START);
            assertTrue(isDue(LEASES, Set.of(), 0));
            assertFalse(isDue(LEASES, Set.of(), 1));
            assertFalse(isDue(LEASES, Set.of(), 299));
            assertTrue(isDue(LEASES, Set.of(), 300));
            assertFalse(isDue(LEASES, Set.of(), 301));
        }

        /** A released lease and a lost server must not become known later than before. */
        @Test
        void changedStateIsSentAtOnce() {
            pendingNotices.onReport(instance(1), List.of(), START);
            assertTrue(isDue(LEASES, Set.of(), 0));
            assertTrue(isDue(RELEASED, Set.of(), 1));
            assertTrue(isDue(RELEASED, SUSPECTED, 2));
            assertFalse(isDue(RELEASED, SUSPECTED, 3));
            assertTrue(isDue(RELEASED, Set.of(), 4));
        }

        /** An instance that is not known as a reporter may never have got the state. */
        @Test
        void unknownInstanceGetsTheState() {
            assertTrue(isDue(LEASES, Set.of(), 0));
            assertTrue(isDue(LEASES, Set.of(), 1));
        }
    }
}
