package org.tarragonlug.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.TestSeeds;

/** Quotas over many instances in virtual time. */
class QuotaSimulationTest {
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final double WITHIN = 0.9;
    private static final double BEYOND = 3;
    private static final double SLACK = 110_000;
    private static final double LARGEST_REFUSED_SHARE = 0.01;

    private static QuotaResult play(
            int instances,
            QuotaScenario.Arrivals arrivals,
            double use,
            QuotaScenario.Faults faults,
            double slack,
            long seed) {
        return new QuotaSimulation(
                        new QuotaScenario(instances, arrivals, use, faults, slack, LENGTH), seed)
                .run();
    }

    @Nested
    class Limit {
        private void assertKept(
                int instances, double use, QuotaScenario.Faults faults, double slack) {
            TestSeeds.forEach(
                    3,
                    seed -> {
                        for (QuotaScenario.Arrivals arrivals : QuotaScenario.Arrivals.values()) {
                            QuotaResult result =
                                    play(instances, arrivals, use, faults, slack, seed);
                            assertTrue(result.largestUse() <= 1, result.toString());
                        }
                    });
        }

        /**
         * Guards against windows above the limit when messages are lost or late, instances are
         * paused, restarted or separated, several planners lend, and quotas are reduced.
         */
        @ParameterizedTest
        @ValueSource(ints = {8, 30, 95})
        void isKeptUnderAllFaults(int instances) {
            assertKept(instances, BEYOND, QuotaScenario.Faults.ALL, SLACK);
            assertKept(instances, 10, QuotaScenario.Faults.ALL, SLACK);
        }

        /** Guards against a bound that only a large slack makes true. */
        @ParameterizedTest
        @ValueSource(ints = {8, 30})
        void isKeptWithoutSlack(int instances) {
            assertKept(instances, BEYOND, QuotaScenario.Faults.ALL, 0);
            assertKept(instances, BEYOND, QuotaScenario.Faults.PARTITION, 0);
            assertKept(instances, BEYOND, QuotaScenario.Faults.PLANNER_LOST, 0);
        }

        /** Guards against two sides of a partition that both lend the whole. */
        @Test
        void isKeptInLongPartition() {
            assertKept(20, BEYOND, QuotaScenario.Faults.PARTITION, SLACK);
        }
    }

    @Nested
    class Allowance {
        private void assertGiven(
                int instances, QuotaScenario.Arrivals arrivals, QuotaScenario.Faults faults) {
            QuotaResult result = play(instances, arrivals, WITHIN, faults, SLACK, 1);
            assertTrue(result.refusedWithinShare() < LARGEST_REFUSED_SHARE, result.toString());
        }

        /** Guards against shares that stay where an account's requests no longer arrive. */
        @ParameterizedTest
        @ValueSource(ints = {8, 71, 95, 300, 410})
        void isGivenWhereRequestsArrive(int instances) {
            assertGiven(instances, QuotaScenario.Arrivals.HALF_AT_ONE, QuotaScenario.Faults.NONE);
            assertGiven(instances, QuotaScenario.Arrivals.MOVING, QuotaScenario.Faults.NONE);
        }

        /** Guards against a loss of allowance with the instances that hold it. */
        @ParameterizedTest
        @ValueSource(ints = {8, 71, 95, 300, 410})
        void isGivenWhenFifthOfInstancesRestarts(int instances) {
            assertGiven(instances, QuotaScenario.Arrivals.EVEN, QuotaScenario.Faults.RESTART);
        }

        /** Guards against allowance that expires in parts that are too small for a request. */
        @ParameterizedTest
        @ValueSource(ints = {8, 95, 410})
        void isUsedWhenMoreIsAskedFor(int instances) {
            QuotaResult result =
                    play(
                            instances,
                            QuotaScenario.Arrivals.EVEN,
                            BEYOND,
                            QuotaScenario.Faults.NONE,
                            SLACK,
                            1);
            assertTrue(result.admittedShare() > 0.9 * result.globalShare(), result.toString());
        }
    }

    /** Guards against messages that take a part of the link worth mentioning. */
    @Test
    void additionalMessagesAreSmall() {
        QuotaResult result =
                play(95, QuotaScenario.Arrivals.EVEN, WITHIN, QuotaScenario.Faults.NONE, SLACK, 1);
        assertTrue(result.bytesPerSecond() < 0.2 * 1024, result.toString());
    }
}
