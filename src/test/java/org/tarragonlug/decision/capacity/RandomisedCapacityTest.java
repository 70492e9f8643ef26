package org.tarragonlug.decision.capacity;

import org.junit.jupiter.api.Test;

/**
 * Guards against replicas beyond the decision, overcommitted memory and unserved demand under
 * random faults. A longer run: {@code -Dtarragonlug.seed=FIRST -Dtarragonlug.seeds=COUNT}.
 */
class RandomisedCapacityTest {
    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 200;

    @Test
    void keepsInvariantsAndServesDemandUnderRandomFaults() {
        long first = Long.getLong("tarragonlug.seed", FIRST_SEED);
        int count = Integer.getInteger("tarragonlug.seeds", SEEDS);
        int failed = 0;
        Throwable fault = null;
        for (long seed = first; seed < first + count; seed++) {
            try {
                new RandomScenario(seed).run();
            } catch (AssertionError | RuntimeException e) {
                System.out.println("failed seed=" + seed + " " + e);
                fault = fault == null ? e : fault;
                failed++;
            }
        }
        if (fault != null) {
            throw new AssertionError(failed + " of " + count + " seeds failed, see output", fault);
        }
    }
}
