package org.tarragonlug;

import java.util.function.LongConsumer;

/**
 * Seeds of randomised tests. {@code -Dtarragonlug.seed} sets the first seed and {@code
 * -Dtarragonlug.seeds} the number of seeds. The message of a failure contains the failing seed.
 */
public final class TestSeeds {
    private static final long FIRST = 20_240;
    private static final int COUNT = 5;

    private TestSeeds() {}

    /** Runs a test once with each seed, by default with 5 seeds. */
    public static void forEach(LongConsumer test) {
        forEach(COUNT, test);
    }

    /**
     * Runs a test once with each seed. Tests with long runs use a smaller default number of seeds.
     */
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
