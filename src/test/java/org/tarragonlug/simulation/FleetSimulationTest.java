package org.tarragonlug.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.runtime.Hash4jHasher;

/** Whole deployments of 95 instances in virtual time, each with a load that is hard to serve. */
class FleetSimulationTest {
    private static final int INSTANCES = 95;
    private static final long SEED = 11;
    private static final double LARGEST_REJECTED_SHARE = 0.02;

    private static final class Result {
        private final FleetSimulation simulation;
        private final FleetRecorder recorder;

        Result(FleetScenarios scenario) {
            simulation =
                    new FleetSimulation(scenario.scenario(INSTANCES), new Hash4jHasher(), SEED);
            recorder = simulation.run();
        }

        double rejectedShare() {
            return (double) recorder.rejections / recorder.sends;
        }
    }

    @Nested
    class Loads {
        /**
         * Guards against orders to load more than fits on a server, which crash it, and against
         * requests that are sent to servers which then reject them.
         */
        @ParameterizedTest
        @EnumSource(names = {"RARE_MODELS", "LONG_PROMPTS"})
        void serversGetOnlyWhatTheyCanServe(FleetScenarios scenario) {
            Result result = new Result(scenario);
            int overloads =
                    result.simulation.servers().stream().mapToInt(ModelServer::violations).sum();
            assertEquals(0, overloads);
            assertTrue(
                    result.rejectedShare() < LARGEST_REJECTED_SHARE,
                    "rejected " + result.rejectedShare());
        }

        /**
         * Guards against rare models that are loaded too late, and against busy models without
         * enough replicas, also where crashed servers stay listed. The bound is the part of the
         * value that a deployment with few instances serves.
         */
        @ParameterizedTest
        @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "FAILING_SERVERS")
        void mostOfTheValueIsServedInTime(FleetScenarios scenario) {
            requireValue(scenario);
        }

        /** Guards against slow servers that go on getting requests; the bound is the same. */
        @Test
        void mostOfTheValueIsServedInTimeWhenServersFail() {
            requireValue(FleetScenarios.FAILING_SERVERS);
        }

        private void requireValue(FleetScenarios scenario) {
            Result result = new Result(scenario);
            double value = result.recorder.all().valueShare();
            assertTrue(value >= 0.85, scenario + " " + value);
        }
    }
}
