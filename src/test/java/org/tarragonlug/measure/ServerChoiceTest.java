package org.tarragonlug.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.runtime.Hash4jHasher;

/** The choice of servers by many instances, each of which sees a small part of the load. */
class ServerChoiceTest {
    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final double LARGEST_REJECTED_SHARE = 0.02;
    private static final double CALLER_TARGET_MILLIS = 400;

    private static ServerChoiceResult play(ServerChoice choice, ServerChoiceScenario scenario) {
        return new ServerChoiceSimulation(scenario, choice, new Hash4jHasher(), 7).run(LENGTH);
    }

    /** All servers work alike, and arrivals vary by chance only. */
    @Nested
    class EvenServers {
        /**
         * Guards against instances that all choose the same server until the news of its load
         * arrives, and then all move to the next one.
         */
        @ParameterizedTest
        @ValueSource(ints = {8, 95, 300, 410})
        void manyInstancesSpreadRequestsOverServers(int instances) {
            ServerChoiceScenario scenario = ServerChoiceMeasurement.scenario(instances, 0.6, 0);
            ServerChoiceResult result = play(ServerChoice.SELECTOR_WITH_TOTALS, scenario);
            assertTrue(result.rejectedShare() < LARGEST_REJECTED_SHARE, result.toString());
            assertTrue(result.waitP99Millis() < CALLER_TARGET_MILLIS, result.toString());
        }
    }

    /** Two of ten servers work at a quarter of their speed, and their answers do not say so. */
    @Nested
    class SlowServers {
        /**
         * Guards against requests that queue at slow servers. An instance that knows only its own
         * requests goes on sending there, because each instance has few of them.
         */
        @ParameterizedTest
        @ValueSource(ints = {8, 95, 300, 410})
        void requestsLeaveSlowServers(int instances) {
            ServerChoiceScenario scenario = ServerChoiceMeasurement.scenario(instances, 0.3, 2);
            ServerChoiceResult result = play(ServerChoice.SELECTOR_WITH_TOTALS, scenario);
            assertTrue(result.rejectedShare() < LARGEST_REJECTED_SHARE, result.toString());
            assertTrue(result.waitP99Millis() < CALLER_TARGET_MILLIS, result.toString());
        }

        /** Guards against totals that cost messages and gain nothing over what answers tell. */
        @ParameterizedTest
        @ValueSource(ints = {95, 410})
        void totalsShortenTheWaitsBesideSlowServers(int instances) {
            ServerChoiceScenario scenario = ServerChoiceMeasurement.scenario(instances, 0.6, 2);
            double alone = play(ServerChoice.SELECTOR_ALONE, scenario).waitP99Millis();
            double known = play(ServerChoice.LOWEST_KNOWN_COST, scenario).waitP99Millis();
            double totals = play(ServerChoice.SELECTOR_WITH_TOTALS, scenario).waitP99Millis();
            assertTrue(totals < alone / 2, totals + " ms, without totals " + alone);
            assertTrue(totals < known / 2, totals + " ms, lowest known cost " + known);
        }
    }

    /** A part of the servers is slow at a time, and each answer states the pace. */
    @Nested
    class UnsteadyServers {
        // Guards against a stated pace that changes nothing, or makes instances move together.
        @ParameterizedTest
        @ValueSource(doubles = {0.3, 0.6})
        void fewerRequestsMeetSlowServers(double use) {
            ServerChoiceScenario scenario =
                    ServerChoiceMeasurement.unevenModels(8, use, ServerSpeeds.UNSTEADY);
            ServerChoiceResult before = play(ServerChoice.SELECTOR_WITH_TOTALS, scenario);
            ServerChoiceResult paced = play(ServerChoice.LEARNT_PACE, scenario);
            assertTrue(paced.slowShare() < 0.8 * before.slowShare(), before + " " + paced);
            assertTrue(paced.busiestToMean() < 1.3, paced.toString());
            assertTrue(paced.waitP99Millis() <= before.waitP99Millis(), before + " " + paced);
        }

        // Guards against answers of a plain service that wait for a slow server.
        @Test
        void plainAnswersComeSooner() {
            ServerChoiceScenario scenario =
                    ServerChoiceMeasurement.unevenPlain(8, 0.6, ServerSpeeds.UNSTEADY_PLAIN);
            ServerChoiceResult before = play(ServerChoice.SELECTOR_WITH_TOTALS, scenario);
            ServerChoiceResult paced = play(ServerChoice.LEARNT_PACE, scenario);
            assertTrue(paced.slowShare() < 0.6 * before.slowShare(), before + " " + paced);
            assertTrue(paced.timeP99Millis() < before.timeP99Millis(), before + " " + paced);
        }

        // Guards against machines of lower speed that receive the same share as the others.
        @Test
        void lastingDifferencesAreLearnt() {
            ServerChoiceScenario scenario =
                    ServerChoiceMeasurement.unevenModels(8, 0.6, ServerSpeeds.UNSTEADY_AND_UNEVEN);
            ServerChoiceResult stated = play(ServerChoice.STATED_PACE, scenario);
            ServerChoiceResult learnt = play(ServerChoice.LEARNT_PACE, scenario);
            assertTrue(learnt.timeP99Millis() < stated.timeP99Millis(), stated + " " + learnt);
        }
    }
}
