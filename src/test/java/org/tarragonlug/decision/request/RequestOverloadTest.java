package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.measure.RequestMeasurement;
import org.tarragonlug.measure.RequestRecorder;

/**
 * Guards against a collapse of goodput under overload, which occurs if servers run requests that
 * miss their deadlines, if requests are refused only after a long wait, or if the queue grows
 * without limit.
 */
class RequestOverloadTest {
    private static final double MIN_SHARE_OF_PEAK = 0.9;
    private static final long MAX_REFUSAL_MICROS = Duration.ofMillis(50).toNanos() / 1_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void keepsGoodputAndRefusesEarlyUnderOverload(long seed) {
        double peak = 0;
        for (double load : new double[] {0.5, 1}) {
            peak = Math.max(peak, RequestMeasurement.overload(seed, load, false).answersInTime());
        }
        for (double load : new double[] {2, 10}) {
            RequestRecorder recorder = RequestMeasurement.overload(seed, load, false);
            String run = "seed " + seed + " load x" + load;
            peak = Math.max(peak, recorder.answersInTime());
            double share = recorder.answersInTime() / peak;
            assertTrue(share > MIN_SHARE_OF_PEAK, run + " share of peak " + share);
            long latest = recorder.refusals().getMaxValue();
            assertTrue(latest <= MAX_REFUSAL_MICROS, run + " refusal after us " + latest);
            int waiting = recorder.maximumUnsent();
            assertTrue(waiting <= RequestMeasurement.QUEUE_LIMIT, run + " waiting " + waiting);
            assertEquals(recorder.answersInTime(), recorder.answers().getTotalCount(), run);
        }
    }
}
