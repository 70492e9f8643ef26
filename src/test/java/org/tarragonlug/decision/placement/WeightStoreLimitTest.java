package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightStoreLimitTest {
    private static final Duration LOAD = Duration.ofSeconds(13);
    private static final Instant NOW = Instant.ofEpochSecond(1000);

    private final WeightStoreLimit limit = new WeightStoreLimit(Duration.ofSeconds(5));

    /** A store that serves one load at a time at full speed. */
    @Nested
    class SlowStore {
        /**
         * Guards against many parallel loads that are recognised as too many only when the first of
         * them ends. Four loads of 13 s each then ended together after 52 s.
         */
        @Test
        void overdueLoadsLowerTheLimitBeforeTheyEnd() {
            limit.onLoadInProgress(LOAD, Duration.ofSeconds(18), 2, 2, NOW);
            assertEquals(1, limit.maxParallelLoads());
        }

        @Test
        void loadsThatShareTheStoreAreExpectedToTakeLonger() {
            limit.onLoadEnded(LOAD, LOAD.multipliedBy(2), 2, 2, NOW);
            assertEquals(LOAD, limit.loadTime(LOAD, 1));
            assertEquals(LOAD.multipliedBy(3), limit.loadTime(LOAD, 3));
        }
    }

    /** A store that serves two loads at full speed, whatever begins after them. */
    @Nested
    class FirstComeStore {
        /**
         * Guards against a limit that grows by loads which began before the others. The limit then
         * doubled with each of them, and servers were blocked for a multiple of the usual time.
         */
        @Test
        void earlyLoadsSayNothingAboutLaterOnes() {
            limit.onLoadEnded(LOAD, LOAD, 2, 2, NOW);
            int grown = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, 1, grown, NOW);
            limit.onLoadEnded(LOAD, LOAD, 2, grown, NOW);
            assertEquals(grown, limit.maxParallelLoads());
        }

        /** Guards against the last load of a slow batch, which alone is left, counting as one. */
        @Test
        void lastOfManySlowLoadsShowsTheCapacityForAll() {
            limit.onLoadEnded(LOAD, LOAD, 2, 2, NOW);
            limit.onLoadEnded(LOAD, LOAD.multipliedBy(2), 4, 1, NOW);
            assertEquals(2, limit.maxParallelLoads());
        }

        /** Guards against servers that are blocked by the same attempt to grow again and again. */
        @Test
        void limitDoesNotGrowSoonAfterLoadsWereSlow() {
            limit.onLoadEnded(LOAD, LOAD, 2, 2, NOW);
            limit.onLoadEnded(LOAD, LOAD.multipliedBy(2), 4, 4, NOW);
            int before = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, before, before, NOW.plus(LOAD));
            assertEquals(before, limit.maxParallelLoads());
        }

        /** Guards against a limit that stays low for good after a single load was late. */
        @Test
        void limitGrowsBySingleLoadsSomeTimeAfterLoadsWereSlow() {
            limit.onLoadEnded(LOAD, LOAD.multipliedBy(2), 2, 2, NOW);
            int before = limit.maxParallelLoads();
            Instant later = NOW.plus(LOAD.multipliedBy(5));
            limit.onLoadEnded(LOAD, LOAD, before, before, later);
            limit.onLoadEnded(LOAD, LOAD, before + 1, before + 1, later);
            assertEquals(before + 2, limit.maxParallelLoads());
        }
    }

    /** A store that serves many loads at full speed. */
    @Nested
    class FastStore {
        /** Guards against a limit that stays low although the store could serve more loads. */
        @Test
        void limitGrowsWhileLoadsEndInTime() {
            int before = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, before, before, NOW);
            assertEquals(2 * before, limit.maxParallelLoads());
        }

        /** Guards against a limit that grows by loads that did not use it up. */
        @Test
        void unusedLimitDoesNotGrow() {
            int before = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, before - 1, before - 1, NOW);
            assertEquals(before, limit.maxParallelLoads());
        }

        @Test
        void loadInTimeKeepsTheLimit() {
            limit.onLoadInProgress(LOAD, LOAD, 2, 2, NOW);
            assertTrue(limit.maxParallelLoads() >= WeightStoreLimit.INITIAL_PARALLEL_LOADS);
        }
    }
}
