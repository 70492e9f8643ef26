package org.tarragonlug.decision.capacity;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Runs random scenarios with faults of processes, engines and the object API. Guards against
 * replicas that the record does not cover, overcommitted memory, and demand that is still not
 * served after the faults have ended. Longer runs: {@code -Dtarragonlug.seed=FIRST
 * -Dtarragonlug.seeds=COUNT}.
 */
class RandomisedCapacityTest {
    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 200;

    @Test
    void keepsInvariantsAndServesDemandUnderRandomFaults() {
        long first = Long.getLong("tarragonlug.seed", FIRST_SEED);
        int count = Integer.getInteger("tarragonlug.seeds", SEEDS);
        List<String> failures =
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(RandomisedCapacityTest::run)
                        .flatMap(Optional::stream)
                        .toList();
        failures.forEach(System.out::println);
        Assertions.assertEquals(List.of(), failures);
    }

    private static Optional<String> run(long seed) {
        try {
            new RandomScenario(seed).run();
            return Optional.empty();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of("failed seed=" + seed + " " + e);
        }
    }
}
