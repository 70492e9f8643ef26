package org.tarragonlug.trial;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The measurements of a load run.
 *
 * @param answered number of complete answers in the measured part
 * @param failed number of failed requests of the complete run, by kind of failure
 * @param perSecond complete answers per second in the measured part
 * @param firstToken time to the first token in microseconds
 * @param total time to the end of the answer in microseconds
 */
public record LoadResult(
        long answered,
        Map<String, Integer> failed,
        double perSecond,
        Histogram firstToken,
        Histogram total) {
    /** Returns a line for people, with times in milliseconds. */
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
