package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;

/** Many instances whose store comes back from older copies, at random times. */
class StoreReturnSharingTest {
    private static final Duration CHANGE_PERIOD = Duration.ofMillis(130);

    /** Objects that a copy lacks are kept for 2.3 s before a list decides on them. */
    private static final Duration SETTLED = Duration.ofSeconds(6);

    /** Runs with few instances; these take a fraction of a second each. */
    private static final int FEW_RUNS = 40;

    private static void check(int instances, int domains, long seed) {
        Random random = new Random(seed);
        StoreReturnSimulation simulation =
                new StoreReturnSimulation(instances, domains, CHANGE_PERIOD, seed);
        simulation.run(Duration.ofSeconds(5));
        int returns = 1 + random.nextInt(3);
        for (int count = 0; count < returns; count++) {
            simulation.returnFromCopy(
                    Duration.ofMillis(50 + random.nextInt(900)), 1 + random.nextInt(40));
            simulation.runAndCheckDelays(Duration.ofMillis(300 + random.nextInt(8000)));
        }
        simulation.runAndCheckDelays(Duration.ofSeconds(5));
        simulation.stopChanging();
        simulation.run(SETTLED);
        assertEquals(List.of(), simulation.violations.stream().limit(3).toList());
        assertEquals(List.of(), simulation.differing().stream().limit(3).toList());
    }

    /** Guards against instances that keep what another copy of the store held. */
    @Test
    void fewInstancesEndWithTheObjectsOfTheStore() {
        TestSeeds.forEach(FEW_RUNS, seed -> check(5, 2, seed));
    }

    /** Guards against sources that pass on what another copy of the store held. */
    @Test
    void instancesThatFollowSourcesEndWithTheObjectsOfTheStore() {
        TestSeeds.forEach(seed -> check(40, 2, seed));
    }
}
