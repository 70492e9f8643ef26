package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

class InFlightTotalsTest {
    private static final ServerId FIRST = new ServerId("first");
    private static final ServerId SECOND = new ServerId("second");
    private static final InstanceId ONE = new InstanceId("one");
    private static final InstanceId TWO = new InstanceId("two");

    private final InFlightTotals totals = new InFlightTotals();
    private final Instant start = Instant.ofEpochSecond(1000);

    @Nested
    class Sums {
        /** Guards against requests that are counted again with each report. */
        @Test
        void newReportReplacesTheOneBefore() {
            totals.onReport(ONE, Map.of(FIRST, 3, SECOND, 1), start);
            totals.onReport(TWO, Map.of(FIRST, 2), start);
            totals.onReport(ONE, Map.of(FIRST, 1), start);
            assertEquals(Map.of(FIRST, 3), totals.totals(start));
        }

        /** Guards against the requests of an ended process that count forever. */
        @Test
        void reportOfSilentInstanceExpires() {
            totals.onReport(ONE, Map.of(FIRST, 3), start);
            totals.onReport(TWO, Map.of(FIRST, 2), start.plusSeconds(1));
            assertEquals(Map.of(FIRST, 2), totals.totals(start.plus(Duration.ofMillis(1600))));
        }
    }
}
