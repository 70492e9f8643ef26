package org.tarragonlug.trial;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What the load tool measured.
 *
 * @param answered whole answers in the measured part
 * @param failed other ends, by kind
 * @param perSecond whole answers a second
 * @param firstToken time to the first token, microseconds
 * @param total time to the end of the answer, microseconds
 */
public record LoadResult(
        long answered,
        Map<String, Integer> failed,
        double perSecond,
        Histogram firstToken,
        Histogram total) {
    /** Returns one line for a person. */
    public String formatLine(String label) {
        return String.format(
                Locale.ROOT,
                "%-10s answered=%d failed=%s per_second=%.1f first_token_ms[%s] total_ms[%s]",
                label,
                answered,
                failed,
                perSecond,
                describe(firstToken),
                describe(total));
    }

    private static String describe(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "p50=%.2f p99=%.2f max=%.2f",
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getMaxValue() / 1e3);
    }
}
