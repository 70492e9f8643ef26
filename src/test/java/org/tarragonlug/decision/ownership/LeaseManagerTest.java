package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;

class LeaseManagerTest {
    private static final Instant START = Instant.ofEpochSecond(1000);

    private static LeaseManager newManager(String instance) {
        return new LeaseManager(
                new InstanceId(instance),
                instance + "-1",
                "10.0.0.1:1",
                LeaseSimulation.TURN,
                true);
    }

    private static LeaseRecord record(String holder, long renewal, long revision) {
        return new LeaseRecord(
                new InstanceId(holder),
                holder + "-1",
                "10.0.0.2:1",
                new FencingToken(7),
                renewal,
                true,
                false,
                revision);
    }

    /**
     * Guards against orders of two holders that are less than the turn time apart, and against
     * orders whose fencing tokens decrease. Both can occur when calls are lost or delayed and
     * instances pause, restart or lose contact while the lease changes its holder.
     */
    @Nested
    class Turns {
        @Test
        void keepsTurnsOfHoldersApartUnderRandomFaults() {
            int handedOver = 0;
            for (long seed = 1; seed <= 600; seed++) {
                LeaseSimulation simulation = new LeaseSimulation(seed, 3);
                simulation.run(Duration.ofSeconds(60), true);
                assertEquals(
                        Optional.empty(), OrderTurns.violation(simulation.orders), "seed " + seed);
                handedOver += OrderTurns.handovers(simulation.orders);
            }
            assertTrue(handedOver > 600, "handovers: " + handedOver);
        }

        @Test
        void someInstanceGivesOrdersWithinSecondsAfterFaultsEnd() {
            for (long seed = 1; seed <= 100; seed++) {
                LeaseSimulation simulation = new LeaseSimulation(seed, 3);
                simulation.run(Duration.ofSeconds(20), true);
                simulation.run(Duration.ofSeconds(15), false);
                Instant from = simulation.now();
                simulation.run(Duration.ofSeconds(5), false);
                boolean ordersContinue =
                        simulation.orders.stream().anyMatch(order -> order.at().isAfter(from));
                boolean stopped = simulation.allStopping();
                assertTrue(
                        ordersContinue || stopped, "seed " + seed + ": no instance gives orders");
            }
        }
    }

    @Nested
    class Holder {
        @Test
        void createsLeaseAndMayOrderAtOnceWhenNoneIsStored() {
            LeaseManager manager = newManager("a");
            assertEquals(List.of(new LeaseCommand.Read()), manager.handle(tick(), START));
            manager.handle(new LeaseEvent.Read(Optional.empty()), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), next).get(0);
            assertEquals(0, write.record().revision());
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertTrue(manager.mayOrder(next));
        }

        @Test
        void mayNotOrderAfterOrderPeriodWithoutRenewal() {
            LeaseManager manager = newHoldingManager("a");
            assertTrue(manager.mayOrder(START.plusMillis(100)));
            assertFalse(manager.mayOrder(START.plus(LeaseManager.ORDER_PERIOD)));
        }

        /**
         * Guards against an order period that is shorter than an outage of the store. All loads
         * once stopped 1.7 s after the store went down, until the store was available again.
         */
        @Test
        void mayOrderDuringStoreOutageOfSixSeconds() {
            LeaseManager manager = newHoldingManager("a");
            Instant now = START;
            for (int step = 0; step < 60; step++) {
                now = now.plusMillis(100);
                for (LeaseCommand command : manager.handle(tick(), now)) {
                    manager.handle(new LeaseEvent.CallFailed(), now.plusMillis(50));
                }
                assertTrue(manager.mayOrder(now), "after " + Duration.between(START, now));
            }
        }

        @Test
        void mayNotOrderAfterPauseUntilLeaseIsRenewed() {
            LeaseManager manager = newHoldingManager("a");
            manager.handle(new LeaseEvent.Paused(), START.plusMillis(100));
            assertFalse(manager.mayOrder(START.plusMillis(100)));
        }

        // Guards against orders beside those of a successor: the answer to a renewal from before a
        // suspension, in which the clock of this process stood still, begins an order period.
        @Test
        void renewalFromBeforePauseStartsNoOrderPeriod() {
            LeaseManager manager = newHoldingManager("a");
            Instant sent = START.plusSeconds(3);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), sent).get(0);
            Instant resumed = sent.plusMillis(10);
            manager.handle(new LeaseEvent.Paused(), resumed);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 9), sent), resumed);
            assertFalse(manager.mayOrder(resumed));
            Instant next = resumed.plusMillis(10);
            LeaseCommand.Write again = (LeaseCommand.Write) manager.handle(tick(), next).get(0);
            assertEquals(9, again.record().revision());
            manager.handle(new LeaseEvent.Written(withRevision(again.record(), 10), next), next);
            assertTrue(manager.mayOrder(next));
        }

        @Test
        void releasesLeaseWhenInstanceStops() {
            LeaseManager manager = newHoldingManager("a");
            List<LeaseCommand> commands = manager.handle(new LeaseEvent.Stopping(), START);
            assertTrue(((LeaseCommand.Write) commands.get(0)).record().released());
            assertFalse(manager.mayOrder(START));
        }
    }

    @Nested
    class Release {
        // Guards against a successor that waits for an earlier holder although this one has given
        // orders: its last renewal was before its first order.
        @Test
        void statesOrdersSinceLastRenewal() {
            List<LeaseCommand> commands =
                    newHoldingManager("a").handle(new LeaseEvent.Stopping(), START);
            assertTrue(((LeaseCommand.Write) commands.get(0)).record().ordering());
        }
    }

    @Nested
    class Successor {
        @Test
        void doesNotReadStoreWhileHolderResponds() {
            LeaseManager manager = newManager("b");
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant now = START;
            for (int step = 0; step < 100; step++) {
                now = now.plusMillis(400);
                manager.handle(
                        new LeaseEvent.HolderResponded(true, StorePosition.of(4 + step)), now);
                assertEquals(List.of(), manager.handle(tick(), now));
            }
        }

        @Test
        void takesOverLeaseAtOnceWhenHolderStopsOrdering() {
            LeaseManager manager = newManager("b");
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            manager.handle(new LeaseEvent.HolderResponded(true, StorePosition.of(4)), START);
            Instant stoppedAt = START.plusMillis(400);
            manager.handle(new LeaseEvent.HolderResponded(false, StorePosition.of(4)), stoppedAt);
            List<LeaseCommand> commands = manager.handle(tick(), stoppedAt.plusMillis(100));
            LeaseRecord taken = ((LeaseCommand.Write) commands.get(0)).record();
            assertEquals(new FencingToken(8), taken.fence());
            Instant written = stoppedAt.plusMillis(110);
            manager.handle(new LeaseEvent.Written(withRevision(taken, 9), written), written);
            assertFalse(manager.mayOrder(written));
            assertFalse(manager.mayOrder(stoppedAt.plus(LeaseSimulation.TURN)));
        }

        // Guards against two holders at once: a statement that the holder has stopped overtakes, or
        // is overtaken by, one about its next renewal, and is taken for a statement about that one.
        @Test
        void statementAboutEarlierRenewalDoesNotFreeLease() {
            LeaseManager manager = newManager("b");
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 2, 9))), START);
            manager.handle(new LeaseEvent.HolderResponded(true, StorePosition.of(9)), START);
            manager.handle(
                    new LeaseEvent.HolderResponded(false, StorePosition.of(4)),
                    START.plusMillis(50));
            assertEquals(List.of(), manager.handle(tick(), START.plusMillis(100)));
        }

        // Guards against orders in the turn of the previous holder, which stopped, renewed the
        // lease, gave orders and stopped again, while the statements between were lost.
        @Test
        void turnBeginsAfterLastStopOfHolder() {
            LeaseManager manager = newManager("b");
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            manager.handle(new LeaseEvent.HolderResponded(true, StorePosition.of(4)), START);
            manager.setAcquisitionDelay(Duration.ofSeconds(10));
            manager.handle(
                    new LeaseEvent.HolderResponded(false, StorePosition.of(4)),
                    START.plusMillis(100));
            Instant stoppedAgain = START.plusMillis(2900);
            manager.handle(
                    new LeaseEvent.HolderResponded(false, StorePosition.of(9)), stoppedAgain);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 2, 9))), stoppedAgain);
            manager.setAcquisitionDelay(Duration.ZERO);
            Instant taken = stoppedAgain.plusMillis(1600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), taken).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 10), taken), taken);
            assertFalse(manager.mayOrder(stoppedAgain.plus(LeaseSimulation.TURN)));
        }

        @Test
        void mayOrderAtOnceAfterRestartOfHolder() {
            LeaseManager manager =
                    new LeaseManager(
                            new InstanceId("a"), "a-2", "10.0.0.2:1", LeaseSimulation.TURN, true);
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), next).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertTrue(manager.mayOrder(next));
        }

        /**
         * Guards against an order during the turn of the previous holder. A process that had
         * acquired the lease and was waiting for its turn was killed; the restarted process found
         * the lease of its own instance and gave orders at once.
         */
        @Test
        void waitsForTurnAfterRestartWhenEarlierProcessWasWaiting() {
            LeaseManager manager =
                    new LeaseManager(
                            new InstanceId("a"), "a-2", "10.0.0.2:1", LeaseSimulation.TURN, true);
            LeaseRecord waiting =
                    new LeaseRecord(
                            new InstanceId("a"),
                            "a-1",
                            "10.0.0.2:1",
                            new FencingToken(7),
                            1,
                            false,
                            false,
                            4);
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(waiting)), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), next).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertFalse(manager.mayOrder(START.plus(LeaseSimulation.TURN)));
        }

        // Guards against orders of two machines within one turn: a machine was replaced by one with
        // its name at another address, which found the lease under its own name and ordered at
        // once.
        @Test
        void waitsForTurnOfReplacedMachineWithSameName() {
            LeaseManager manager =
                    new LeaseManager(
                            new InstanceId("a"), "a-2", "10.0.0.9:1", LeaseSimulation.TURN, true);
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant now = START;
            Instant acquired = null;
            while (acquired == null && now.isBefore(START.plusSeconds(10))) {
                now = now.plusMillis(100);
                for (LeaseCommand command : manager.handle(tick(), now)) {
                    if (command instanceof LeaseCommand.Write write) {
                        LeaseRecord taken = withRevision(write.record(), 5);
                        manager.handle(new LeaseEvent.Written(taken, now), now);
                        acquired = now;
                    } else {
                        manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), now);
                    }
                }
            }
            assertTrue(acquired != null, "the lease of the replaced machine is never taken");
            Instant lastOrder = START.plus(LeaseManager.ORDER_PERIOD);
            assertFalse(manager.mayOrder(now), "ordered at " + Duration.between(START, now));
            assertFalse(manager.mayOrder(lastOrder.plus(LeaseSimulation.TURN)));
        }

        // Guards against orders of two holders within one turn: a successor that released the lease
        // while it waited for the turn of the previous holder tells nothing of that holder's end.
        @Test
        void waitsForHolderBeforeOneThatReleasedLeaseUnused() {
            LeaseManager manager = newManager("c");
            manager.handle(tick(), START);
            LeaseRecord unused =
                    new LeaseRecord(
                            new InstanceId("b"),
                            "b-1",
                            "10.0.0.2:1",
                            new FencingToken(8),
                            2,
                            false,
                            true,
                            6);
            manager.handle(new LeaseEvent.Read(Optional.of(unused)), START);
            Instant taken = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), taken).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 7), taken), taken);
            Duration rest = LeaseManager.ORDER_PERIOD.minus(LeaseManager.TAKEOVER_AFTER);
            assertFalse(manager.mayOrder(START.plus(rest).plus(LeaseSimulation.TURN)));
        }

        // Guards against the same if the waiting successor states that it gives no orders.
        @Test
        void waitsForHolderBeforeOneThatStoppedWhileWaiting() {
            LeaseManager manager = newManager("c");
            manager.handle(tick(), START);
            LeaseRecord waiting =
                    new LeaseRecord(
                            new InstanceId("b"),
                            "b-1",
                            "10.0.0.2:1",
                            new FencingToken(8),
                            2,
                            false,
                            false,
                            6);
            manager.handle(new LeaseEvent.Read(Optional.of(waiting)), START);
            manager.handle(new LeaseEvent.HolderResponded(false, StorePosition.of(6)), START);
            Instant taken = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), taken).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 7), taken), taken);
            Duration rest = LeaseManager.ORDER_PERIOD.minus(LeaseManager.TAKEOVER_AFTER);
            Instant turn = START.plus(rest).plus(LeaseSimulation.TURN);
            assertFalse(manager.mayOrder(turn));
            assertTrue(manager.mayOrder(turn.plusMillis(300)));
        }

        // Guards against orders with a lower fencing token than before: after a pause two reads are
        // under way, and the first one is answered after the lease was acquired.
        @Test
        void overtakenReadDoesNotLowerFencingToken() {
            LeaseManager manager =
                    new LeaseManager(
                            new InstanceId("a"), "a-2", "10.0.0.2:1", LeaseSimulation.TURN, false);
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), next).get(0);
            manager.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            manager.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), next);
            assertEquals(write.record().fence(), manager.fence());
            assertTrue(manager.mayOrder(next));
        }

        @Test
        void doesNotAcquireFreeLeaseBeforeAcquisitionDelay() {
            LeaseManager manager = newManager("b");
            manager.setAcquisitionDelay(Duration.ofMillis(1500));
            manager.handle(tick(), START);
            manager.handle(new LeaseEvent.Read(Optional.empty()), START);
            boolean wrote = false;
            for (int millis = 600; millis < 1500; millis += 100) {
                for (LeaseCommand command : manager.handle(tick(), START.plusMillis(millis))) {
                    wrote |= command instanceof LeaseCommand.Write;
                    manager.handle(new LeaseEvent.Read(Optional.empty()), START.plusMillis(millis));
                }
            }
            assertFalse(wrote);
        }
    }

    private static LeaseEvent tick() {
        return new LeaseEvent.Tick();
    }

    private static LeaseRecord withRevision(LeaseRecord record, long revision) {
        return new LeaseRecord(
                record.holder(),
                record.process(),
                record.address(),
                record.fence(),
                record.renewal(),
                record.ordering(),
                record.released(),
                revision);
    }

    private static LeaseManager newHoldingManager(String instance) {
        LeaseManager manager = newManager(instance);
        Instant before = START.minusMillis(700);
        manager.handle(tick(), before);
        manager.handle(new LeaseEvent.Read(Optional.empty()), before);
        LeaseCommand.Write write = (LeaseCommand.Write) manager.handle(tick(), START).get(0);
        manager.handle(new LeaseEvent.Written(withRevision(write.record(), 5), START), START);
        return manager;
    }
}
