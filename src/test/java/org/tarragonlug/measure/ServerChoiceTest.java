package org.tarragonlug.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
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
}
