package org.tarragonlug;

import java.util.function.LongConsumer;

/**
 * Seeds of randomised tests: {@code -Dtarragonlug.seed} sets the first and {@code
 * -Dtarragonlug.seeds} how many; the failing one is printed.
 */
public final class TestSeeds {
    private static final long FIRST = 20_240;
    private static final int COUNT = 5;

    private TestSeeds() {}

    /** Runs a test with each seed. */
    public static void forEach(LongConsumer test) {
        forEach(COUNT, test);
    }

    /** Runs a test with each seed; fewer by default where one run takes long. */
    public static void forEach(int defaultCount, LongConsumer test) {
        long first = Long.getLong("tarragonlug.seed", FIRST);
        int count = Integer.getInteger("tarragonlug.seeds", defaultCount);
        for (long seed = first; seed < first + count; seed++) {
            try {
                test.accept(seed);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("failed with -Dtarragonlug.seed=" + seed, e);
            }
        }
    }
}
