package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;

class LeaseManagerTest {
    private static final Instant START = Instant.ofEpochSecond(1000);

    private static LeaseManager newManager(String instance) {
        return new LeaseManager(
                new InstanceId(instance), instance + "-1", "10.0.0.1:1", LeaseSimulation.TURN);
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

    /** Orders of two holders, or of two fences in the wrong order, that lie too close together. */
    @Nested
    class Turns {
        @Test
        void neverOverlapUnderRandomFaults() {
            int handedOver = 0;
            for (long seed = 1; seed <= 600; seed++) {
                LeaseSimulation world = new LeaseSimulation(seed, 3);
                world.run(Duration.ofSeconds(60), true);
                handedOver += checkTurns(world.orders, seed);
            }
            assertTrue(handedOver > 600, "hand-overs seen: " + handedOver);
        }

        private int checkTurns(List<LeaseSimulation.Order> orders, long seed) {
            int changes = 0;
            Map<Long, String> holderOfFence = new HashMap<>();
            LeaseSimulation.Order last = null;
            for (LeaseSimulation.Order order : orders) {
                String holder = holderOfFence.putIfAbsent(order.fence(), order.holder());
                assertTrue(
                        holder == null || holder.equals(order.holder()),
                        "seed " + seed + ": fence " + order.fence() + " has two holders");
                if (last != null && !last.holder().equals(order.holder())) {
                    changes++;
                    Duration between = Duration.between(last.at(), order.at());
                    assertTrue(
                            between.compareTo(LeaseSimulation.TURN) >= 0,
                            "seed " + seed + ": " + last + " then " + order);
                    assertTrue(order.fence() > last.fence(), "seed " + seed + ": fence fell");
                }
                last = order;
            }
            return changes;
        }

        @Test
        void ordersGoOnWithinSecondsAfterEachFault() {
            for (long seed = 1; seed <= 100; seed++) {
                LeaseSimulation world = new LeaseSimulation(seed, 3);
                world.run(Duration.ofSeconds(20), true);
                world.run(Duration.ofSeconds(15), false);
                Instant from = world.now();
                world.run(Duration.ofSeconds(5), false);
                boolean goesOn = world.orders.stream().anyMatch(order -> order.at().isAfter(from));
                boolean stopped = world.allStopping();
                assertTrue(goesOn || stopped, "seed " + seed + ": nobody gives orders");
            }
        }
    }

    @Nested
    class Holder {
        @Test
        void createsTheLeaseAndOrdersAtOnceWhenNobodyEverHeldIt() {
            LeaseManager keeper = newManager("a");
            assertEquals(List.of(new LeaseCommand.Read()), keeper.handle(tick(), START));
            keeper.handle(new LeaseEvent.Read(Optional.empty()), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) keeper.handle(tick(), next).get(0);
            assertEquals(0, write.record().revision());
            keeper.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertTrue(keeper.mayOrder(next));
        }

        @Test
        void stopsOrderingWhenRenewalsFail() {
            LeaseManager keeper = newHoldingManager("a");
            assertTrue(keeper.mayOrder(START.plusMillis(100)));
            assertFalse(keeper.mayOrder(START.plus(LeaseManager.ORDER_PERIOD)));
        }

        /** All loads stopped 1.7 s after the store went down, for as long as it stayed away. */
        @Test
        void goesOnThroughAnOutageOfTheStoreOfSomeSeconds() {
            LeaseManager keeper = newHoldingManager("a");
            Instant now = START;
            for (int step = 0; step < 60; step++) {
                now = now.plusMillis(100);
                for (LeaseCommand command : keeper.handle(tick(), now)) {
                    keeper.handle(new LeaseEvent.CallFailed(), now.plusMillis(50));
                }
                assertTrue(keeper.mayOrder(now), "after " + Duration.between(START, now));
            }
        }

        @Test
        void stopsOrderingAfterAPauseUntilItHasRenewed() {
            LeaseManager keeper = newHoldingManager("a");
            keeper.handle(new LeaseEvent.Paused(), START.plusMillis(100));
            assertFalse(keeper.mayOrder(START.plusMillis(100)));
        }

        @Test
        void releasesTheLeaseWhenItStops() {
            LeaseManager keeper = newHoldingManager("a");
            List<LeaseCommand> commands = keeper.handle(new LeaseEvent.Stopping(), START);
            assertTrue(((LeaseCommand.Write) commands.get(0)).record().released());
            assertFalse(keeper.mayOrder(START));
        }
    }

    @Nested
    class Successor {
        @Test
        void doesNotReadTheStoreWhileItHearsTheHolder() {
            LeaseManager keeper = newManager("b");
            keeper.handle(tick(), START);
            keeper.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant now = START;
            for (int step = 0; step < 100; step++) {
                now = now.plusMillis(400);
                keeper.handle(new LeaseEvent.HolderResponded(true, 4 + step), now);
                assertEquals(List.of(), keeper.handle(tick(), now));
            }
        }

        @Test
        void takesOverAtOnceWhenTheHolderSaysThatItGaveUp() {
            LeaseManager keeper = newManager("b");
            keeper.handle(tick(), START);
            keeper.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            keeper.handle(new LeaseEvent.HolderResponded(true, 4), START);
            Instant gaveUp = START.plusMillis(400);
            keeper.handle(new LeaseEvent.HolderResponded(false, 4), gaveUp);
            List<LeaseCommand> commands = keeper.handle(tick(), gaveUp.plusMillis(100));
            LeaseRecord taken = ((LeaseCommand.Write) commands.get(0)).record();
            assertEquals(new FencingToken(8), taken.fence());
            Instant written = gaveUp.plusMillis(110);
            keeper.handle(new LeaseEvent.Written(withRevision(taken, 9), written), written);
            assertFalse(keeper.mayOrder(written));
            assertFalse(keeper.mayOrder(gaveUp.plus(LeaseSimulation.TURN)));
        }

        @Test
        void takesItsOwnLeaseBackAfterARestartWithoutWaiting() {
            LeaseManager keeper =
                    new LeaseManager(new InstanceId("a"), "a-2", "10.0.0.1:1", LeaseSimulation.TURN);
            keeper.handle(tick(), START);
            keeper.handle(new LeaseEvent.Read(Optional.of(record("a", 1, 4))), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) keeper.handle(tick(), next).get(0);
            keeper.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertTrue(keeper.mayOrder(next));
        }

        /** A process that waited for its turn was killed; its successor ordered at once. */
        @Test
        void waitsForTheTurnThatItsEarlierProcessWaitedFor() {
            LeaseManager keeper =
                    new LeaseManager(new InstanceId("a"), "a-2", "10.0.0.1:1", LeaseSimulation.TURN);
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
            keeper.handle(tick(), START);
            keeper.handle(new LeaseEvent.Read(Optional.of(waiting)), START);
            Instant next = START.plusMillis(600);
            LeaseCommand.Write write = (LeaseCommand.Write) keeper.handle(tick(), next).get(0);
            keeper.handle(new LeaseEvent.Written(withRevision(write.record(), 5), next), next);
            assertFalse(keeper.mayOrder(START.plus(LeaseSimulation.TURN)));
        }

        @Test
        void leavesAFreeLeaseToOthersForTheSetTime() {
            LeaseManager keeper = newManager("b");
            keeper.setAcquisitionDelay(Duration.ofMillis(1500));
            keeper.handle(tick(), START);
            keeper.handle(new LeaseEvent.Read(Optional.empty()), START);
            boolean wrote = false;
            for (int millis = 600; millis < 1500; millis += 100) {
                for (LeaseCommand command : keeper.handle(tick(), START.plusMillis(millis))) {
                    wrote |= command instanceof LeaseCommand.Write;
                    keeper.handle(new LeaseEvent.Read(Optional.empty()), START.plusMillis(millis));
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
        LeaseManager keeper = newManager(instance);
        Instant before = START.minusMillis(700);
        keeper.handle(tick(), before);
        keeper.handle(new LeaseEvent.Read(Optional.empty()), before);
        LeaseCommand.Write write = (LeaseCommand.Write) keeper.handle(tick(), START).get(0);
        keeper.handle(new LeaseEvent.Written(withRevision(write.record(), 5), START), START);
        return keeper;
    }
}
