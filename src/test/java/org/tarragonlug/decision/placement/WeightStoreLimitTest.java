package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightStoreLimitTest {
    private static final Duration LOAD = Duration.ofSeconds(13);

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
            limit.onLoadInProgress(LOAD, Duration.ofSeconds(18), 2);
            assertEquals(1, limit.maxParallelLoads());
        }

        @Test
        void loadsThatShareTheStoreAreExpectedToTakeLonger() {
            limit.onLoadEnded(LOAD, LOAD.multipliedBy(2), 2);
            assertEquals(LOAD, limit.loadTime(LOAD, 1));
            assertEquals(LOAD.multipliedBy(3), limit.loadTime(LOAD, 3));
        }
    }

    /** A store that serves many loads at full speed. */
    @Nested
    class FastStore {
        /** Guards against a limit that stays low although the store could serve more loads. */
        @Test
        void limitGrowsWhileLoadsEndInTime() {
            int before = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, before);
            assertEquals(2 * before, limit.maxParallelLoads());
        }

        /** Guards against a limit that grows by loads that did not use it up. */
        @Test
        void unusedLimitDoesNotGrow() {
            int before = limit.maxParallelLoads();
            limit.onLoadEnded(LOAD, LOAD, before - 1);
            assertEquals(before, limit.maxParallelLoads());
        }

        @Test
        void loadInTimeKeepsTheLimit() {
            limit.onLoadInProgress(LOAD, LOAD, 2);
            assertTrue(limit.maxParallelLoads() >= WeightStoreLimit.INITIAL_PARALLEL_LOADS);
        }
    }
}
