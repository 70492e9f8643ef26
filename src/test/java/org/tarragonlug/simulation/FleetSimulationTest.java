package org.tarragonlug.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.id.RequestTrait;
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
        @EnumSource(
                mode = EnumSource.Mode.EXCLUDE,
                names = {"FAILING_SERVERS", "CRASHING_PART_AMONG_CRASHES"})
        void mostOfTheValueIsServedInTime(FleetScenarios scenario) {
            requireValue(scenario);
        }

        /** Guards against servers that crash for two reasons at once; the bound is the same. */
        @Test
        void mostOfTheValueIsServedInTimeAmongCrashes() {
            requireValue(FleetScenarios.CRASHING_PART_AMONG_CRASHES);
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

    @Nested
    class Quarantine {
        private static final int TOLERATED_CRASHES = 5;
        private static final int TOLERATED_ARRIVALS = 3;

        /** Time after the last tolerated crash in which the news may spread. */
        private static final Duration SPREADING_TIME = Duration.ofSeconds(5);

        private final RequestTrait crashingPart =
                new RequestTrait(RequestTrait.Kind.PART, ModelServer.CRASHING_PART.value());

        // Guards against servers that crash one after the other under one prompt part, whose
        // requests arrive at any of 95 instances, and against sound parts that share its blame.
        @ParameterizedTest
        @EnumSource(names = {"CRASHING_PART", "CRASHING_PART_AMONG_CRASHES"})
        void crashingPartAloneIsKeptFromServers(FleetScenarios scenario) {
            FleetSimulation simulation = new Result(scenario).simulation;
            assertEquals(Set.of(crashingPart), simulation.quarantines().get(0).convicted());
            List<Instant> crashes = sorted(simulation, ModelServer::partCrashes);
            int last = Math.min(TOLERATED_CRASHES, crashes.size()) - 1;
            Instant end = crashes.get(last).plus(SPREADING_TIME);
            long late =
                    sorted(simulation, ModelServer::crashingArrivals).stream()
                            .filter(end::isBefore)
                            .count();
            assertTrue(late <= TOLERATED_ARRIVALS, late + " arrivals, crashes " + crashes);
        }

        private static List<Instant> sorted(
                FleetSimulation simulation, Function<ModelServer, List<Instant>> times) {
            return simulation.servers().stream()
                    .flatMap(server -> times.apply(server).stream())
                    .sorted()
                    .toList();
        }

        // Guards against sound requests that are refused because servers ended for other reasons.
        @ParameterizedTest
        @EnumSource(names = {"LOST_SERVERS", "FAILING_SERVERS"})
        void crashesOfOtherCausesQuarantineNothing(FleetScenarios scenario) {
            FleetSimulation simulation = new Result(scenario).simulation;
            assertEquals(Set.of(), simulation.quarantines().get(0).convicted());
        }
    }
}
