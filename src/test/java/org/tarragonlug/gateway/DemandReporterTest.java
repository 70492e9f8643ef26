package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.gateway.DemandReporter.Audience;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

class DemandReporterTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ModelKey MODEL = new ModelKey("m", "");
    private static final Instant START = Instant.ofEpochSecond(100);

    private final AtomicInteger urgent = new AtomicInteger();
    private final DemandReporter reporter = new DemandReporter(urgent::incrementAndGet);

    @Nested
    class Arrivals {
        /** An instance that takes over planning must know the rates as the one before did. */
        @Test
        void areCountedForEachAudienceByItself() {
            reporter.arrived(SERVICE, MODEL);
            assertEquals(1, arrivals(Audience.PLANNER));
            reporter.arrived(SERVICE, MODEL);
            assertEquals(1, arrivals(Audience.PLANNER));
            assertEquals(2, arrivals(Audience.STANDBY));
        }

        private int arrivals(Audience audience) {
            return reporter.take(audience, START).stream().mapToInt(ModelDemand::arrivals).sum();
        }
    }

    @Nested
    class Wants {
        @Test
        void areUrgentOnce() {
            ForwardingCommand.ReportWaiting wanted =
                    new ForwardingCommand.ReportWaiting(
                            SERVICE, MODEL, 0, START.plusSeconds(3), START.plusSeconds(5));
            reporter.wanted(wanted, START);
            reporter.wanted(wanted, START.plus(Duration.ofMillis(250)));
            assertEquals(1, urgent.get());
            List<ModelDemand> demands = reporter.take(Audience.STANDBY, START.plusMillis(300));
            assertEquals(1, demands.get(0).waiting());
        }
    }
}
