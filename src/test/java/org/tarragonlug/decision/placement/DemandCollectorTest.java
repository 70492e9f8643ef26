package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.placement.DemandCollector.Audience;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

class DemandCollectorTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ModelKey MODEL = new ModelKey("m", "");
    private static final Instant START = Instant.ofEpochSecond(100);

    private final AtomicInteger urgentReports = new AtomicInteger();
    private final DemandCollector collector = new DemandCollector(urgentReports::incrementAndGet);

    @Nested
    class Arrivals {
        /**
         * An instance that takes over planning must know the same arrival rates as its predecessor.
         * With one shared count, a report to the planner would reset the arrivals that the standby
         * has not received yet.
         */
        @Test
        void countsArrivalsSeparatelyForEachAudience() {
            collector.recordArrival(SERVICE, MODEL);
            assertEquals(1, arrivals(Audience.PLANNER));
            collector.recordArrival(SERVICE, MODEL);
            assertEquals(1, arrivals(Audience.PLANNER));
            assertEquals(2, arrivals(Audience.STANDBY));
        }

        private int arrivals(Audience audience) {
            return collector.collect(audience, START).stream()
                    .mapToInt(ModelDemand::arrivals)
                    .sum();
        }
    }

    @Nested
    class Waits {
        @Test
        void requestsUrgentReportOnceForContinuedWait() {
            ForwardingCommand.ReportWaiting wait =
                    new ForwardingCommand.ReportWaiting(
                            SERVICE, MODEL, 0, START.plusSeconds(3), START.plusSeconds(5));
            collector.recordWait(wait, START);
            collector.recordWait(wait, START.plus(Duration.ofMillis(250)));
            assertEquals(1, urgentReports.get());
            List<ModelDemand> demands = collector.collect(Audience.STANDBY, START.plusMillis(300));
            assertEquals(1, demands.get(0).waiting());
        }
    }
}
