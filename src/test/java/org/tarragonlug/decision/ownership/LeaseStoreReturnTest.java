package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.id.StoreEra;

/** Random runs of lease managers whose store returns from older copies. */
class LeaseStoreReturnTest {
    private static final int SEEDS = Integer.getInteger("tarragonlug.lease.seeds", 600);
    private static final StoreEra FIRST_ERA = new StoreEra(1);

    @Nested
    class Turns {
        // Guards against two holders at once, and against a fencing token that is given out again,
        // after the store has lost the last changes of the lease.
        @Test
        void keepsTurnsOfHoldersApart() {
            List<String> violations = new ArrayList<>();
            int handovers = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                LeaseSimulation simulation = new LeaseSimulation(seed, 3, FIRST_ERA);
                simulation.run(Duration.ofSeconds(60), true);
                handovers += OrderTurns.handovers(simulation.orders);
                String name = "seed " + seed + ": ";
                OrderTurns.violation(simulation.orders).ifPresent(v -> violations.add(name + v));
            }
            System.out.printf(
                    "%d seeds, %d handovers, %d with violations%n",
                    SEEDS, handovers, violations.size());
            assertEquals(List.of(), violations);
            assertTrue(handovers > SEEDS / 2, "handovers: " + handovers);
        }
    }

    @Nested
    class Orders {
        /** How long an instance may take to learn of a return and to read the lease. */
        private static final Duration LEARN_AND_READ = Duration.ofMillis(2000 + 1500 + 400 + 1500);

        /** Longest time without orders after all faults: a silent holder's lease is taken over. */
        private static final Duration LONGEST_WAIT =
                LEARN_AND_READ
                        .plus(LeaseManager.ORDER_PERIOD)
                        .plus(LeaseSimulation.TURN)
                        .plusMillis(200);

        // Guards against a lease that nobody takes after the store has returned from a copy.
        @Test
        void someInstanceGivesOrdersAfterFaults() {
            List<Duration> waits = new ArrayList<>();
            for (long seed = 1; seed <= SEEDS; seed++) {
                LeaseSimulation simulation = new LeaseSimulation(seed, 3, FIRST_ERA);
                simulation.run(Duration.ofSeconds(20), true);
                simulation.run(Duration.between(simulation.now(), simulation.quietAt()), false);
                Instant quiet = simulation.now();
                simulation.run(Duration.ofSeconds(30), false);
                if (!simulation.allStopping()) {
                    waits.add(Duration.between(quiet, firstOrder(simulation, quiet)));
                }
            }
            assertAtMost(LONGEST_WAIT, waits, "until an order after faults");
        }

        private static Instant firstOrder(LeaseSimulation simulation, Instant from) {
            return simulation.orders.stream()
                    .map(LeaseSimulation.Order::at)
                    .filter(at -> !at.isBefore(from))
                    .findFirst()
                    .orElse(simulation.now().plus(Duration.ofHours(1)));
        }

        // Guards against a needless wait: the holder lives and reaches the store when it returns.
        @Test
        void holderGoesOnAfterReturn() {
            List<Duration> gaps = new ArrayList<>();
            for (long seed = 1; seed <= SEEDS; seed++) {
                gaps.add(longestGap(seed, 1));
            }
            assertAtMost(Duration.ofSeconds(2), gaps, "between orders around a return");
        }

        // Guards against the same after two returns.
        @Test
        void holderGoesOnAfterTwoReturns() {
            List<Duration> gaps = new ArrayList<>();
            for (long seed = 1; seed <= SEEDS; seed++) {
                gaps.add(longestGap(seed, 2));
            }
            assertAtMost(Duration.ofSeconds(2), gaps, "between orders around two returns");
        }

        private static Duration longestGap(long seed, int returns) {
            LeaseSimulation simulation = LeaseSimulation.withReliableStore(seed, 3, FIRST_ERA);
            simulation.run(Duration.ofSeconds(20), false);
            Instant last = simulation.now();
            for (int count = 0; count < returns; count++) {
                simulation.drill(ageOfCopy(seed + count));
                simulation.run(Duration.ofMillis(1500 + seed * 41 % 3500), false);
            }
            simulation.run(Duration.ofSeconds(20), false);
            Duration longest = Duration.ZERO;
            for (LeaseSimulation.Order order : simulation.orders) {
                if (order.at().isAfter(last)) {
                    Duration gap = Duration.between(last, order.at());
                    longest = gap.compareTo(longest) > 0 ? gap : longest;
                    last = order.at();
                }
            }
            return longest;
        }

        /** Returns the age of a copy; one in five is from before the first lease. */
        private static Duration ageOfCopy(long number) {
            return Duration.ofMillis(number % 5 == 0 ? 40_000 : 500 + number * 37 % 9500);
        }

        private static void assertAtMost(Duration bound, List<Duration> times, String what) {
            List<Duration> sorted = times.stream().sorted().toList();
            int size = sorted.size();
            Duration longest = sorted.get(size - 1);
            System.out.printf(
                    "%s: %d runs, p50 %s, p99 %s, max %s%n",
                    what, size, sorted.get(size / 2), sorted.get(size * 99 / 100), longest);
            assertTrue(longest.compareTo(bound) <= 0, what + ": " + longest);
        }
    }

    @Nested
    class StoreCalls {
        private static final Duration WINDOW = Duration.ofSeconds(15);

        // Guards against instances that keep calling the store after its return.
        @ParameterizedTest
        @ValueSource(ints = {3, 8, 16})
        void areFewAfterReturn(int instances) {
            long without = 0;
            long with = 0;
            int runs = 50;
            for (long seed = 1; seed <= runs; seed++) {
                without += calls(seed, instances, false);
                with += calls(seed, instances, true);
            }
            System.out.printf(
                    "%d instances: %.1f store calls in 15 s, %.1f after a return%n",
                    instances, (double) without / runs, (double) with / runs);
            long additional = (with - without) / runs;
            assertTrue(additional <= 10L * instances, "additional calls: " + additional);
        }

        private static long calls(long seed, int instances, boolean returns) {
            LeaseSimulation simulation = new LeaseSimulation(seed, instances, FIRST_ERA);
            simulation.run(Duration.ofSeconds(20), false);
            int before = simulation.storeCalls.size();
            if (returns) {
                simulation.drill(Duration.ofSeconds(3));
            }
            simulation.run(WINDOW, false);
            return simulation.storeCalls.size() - before;
        }
    }
}
