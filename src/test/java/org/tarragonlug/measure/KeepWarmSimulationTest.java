package org.tarragonlug.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.capacity.DefaultKeepWarmPolicy;
import org.tarragonlug.decision.capacity.KeepWarmPolicy;
import org.tarragonlug.decision.configuration.ArtifactLimit;

class KeepWarmSimulationTest {
    private static final int DAYS = 2;
    private static final Deployment DEPLOYMENT = Deployment.CARGAS;

    private final List<ArtifactLimit> models =
            ModelCatalogue.models(DEPLOYMENT.models(), new Random(1));
    private final List<TrafficTrace.Arrival> arrivals =
            DEPLOYMENT.traffic(DAYS, new Random(2)).sorted();

    private KeepWarmResult run(KeepWarmPolicy policy) {
        long measuredFrom = (DAYS - 1) * TrafficTrace.DAY;
        return new KeepWarmSimulation(DEPLOYMENT, arrivals, models, policy, 2, measuredFrom, 3)
                .run(DAYS * TrafficTrace.DAY);
    }

    @Nested
    class AnyPolicy {
        /**
         * Guards against results that lack requests, for example requests that waited for a model
         * that was never loaded. Classes end hours before midnight, so no request is still waiting
         * at the end of the measured day.
         */
        @Test
        void servesEveryRequestOfMeasuredDay() {
            long measuredFrom = (DAYS - 1) * TrafficTrace.DAY;
            long measured = arrivals.stream().filter(a -> a.atMillis() >= measuredFrom).count();
            for (Duration timeout : List.of(Duration.ZERO, Duration.ofDays(365))) {
                KeepWarmResult result = run(new FixedTimeoutPolicy(timeout));
                assertEquals(measured, result.allWaits.getTotalCount());
            }
        }

        /**
         * Guards against results that cannot be repeated from the printed seed, because the
         * simulation used another source of randomness.
         */
        @Test
        void producesSameFiguresForSameSeed() {
            KeepWarmResult first = run(new DefaultKeepWarmPolicy(ModelCatalogue.shares(models)));
            KeepWarmResult second = run(new DefaultKeepWarmPolicy(ModelCatalogue.shares(models)));
            assertEquals(first.allWaits, second.allWaits);
            assertEquals(first.idleHours, second.idleHours);
        }

        /**
         * Guards against an accounting error, such as idle time that is not counted up to the
         * unload, by comparing immediate unloading with a timeout that never expires.
         */
        @Test
        void longerTimeoutGivesMoreIdleTimeAndFewerColdStarts() {
            KeepWarmResult atOnce = run(new FixedTimeoutPolicy(Duration.ZERO));
            KeepWarmResult never = run(new FixedTimeoutPolicy(Duration.ofDays(365)));
            assertTrue(atOnce.idleHours < never.idleHours);
            assertTrue(atOnce.coldStarts > never.coldStarts);
        }
    }
}
