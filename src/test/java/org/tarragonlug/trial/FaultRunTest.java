package org.tarragonlug.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.standin.Deployment;

/** Runs complete entry instances with stand-ins under random faults. */
class FaultRunTest {
    private static final long SEED = 20_240;
    private static final int INSTANCES = 4;
    private static final int SHORT_SECONDS = 8;
    private static final int LONG_SECONDS = 25;
    private static final int LONG_SEEDS = 6;
    private static final int RATE = 30;

    private static void run(Deployment deployment, int seconds, long seed) {
        List<String> lines = new ArrayList<>();
        try {
            TrialSettings settings =
                    new TrialSettings(deployment, INSTANCES, seconds, RATE, seed, true);
            TrialResult result = new Trial(settings, lines::add).run();
            assertEquals(List.of(), result.problems(), () -> String.join("\n", lines));
            assertTrue(
                    result.isSuccessful(),
                    () -> TrialTable.format(result) + String.join("\n", lines));
        } catch (Exception failure) {
            throw new AssertionError(String.join("\n", lines), failure);
        }
    }

    /**
     * Some failures occur only after several faults, or when two faults overlap, for example when
     * an instance is killed during an outage of the object API. Tests of single faults miss them.
     */
    @Test
    @Timeout(120)
    void invariantsHoldUnderFaultsOfOneSeed() {
        run(Deployment.CARGAS, SHORT_SECONDS, SEED);
    }

    /**
     * Runs longer schedules of several seeds, so that more sequences and combinations of faults
     * occur. Also runs the deployment whose engines ignore fencing tokens, where late orders of a
     * former decider are not rejected.
     */
    @Test
    @Tag("long")
    void invariantsHoldUnderFaultsOfManySeeds() {
        TestSeeds.forEach(
                LONG_SEEDS,
                seed -> {
                    run(Deployment.CARGAS, LONG_SECONDS, seed);
                    run(Deployment.SOLANO, LONG_SECONDS, seed);
                });
    }
}
