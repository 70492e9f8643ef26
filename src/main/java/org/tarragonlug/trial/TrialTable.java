package org.tarragonlug.trial;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Formats the result of a trial as a table for people. */
public final class TrialTable {
    private TrialTable() {}

    /** Returns the table, ending with a line break. */
    public static String format(TrialResult result) {
        StringBuilder text = new StringBuilder();
        line(text, "deployment", result.settings().deployment().name());
        line(text, "entry instances", result.settings().instances());
        line(text, "seed", result.settings().seed());
        line(text, "requests sent", result.sent());
        line(text, "answered", result.answered());
        line(text, "refused", result.refusedCount());
        result.refused().forEach((kind, count) -> line(text, "  " + kind, count));
        line(text, "wrong answers", result.wrong() + " " + result.firstWrong());
        line(text, "lost", result.lost());
        line(text, "broken by the kill of an instance", result.brokenByKill());
        line(text, "run twice", result.runTwice());
        line(text, "falsely \"not run\"", result.falselyNotRun());
        line(text, "answered but not run", result.answeredNotRun());
        line(text, "replicas decided", result.replicasDecided());
        line(text, "replicas loaded", result.replicasLoaded());
        line(text, "above the pool's limit", result.aboveLimit());
        line(text, "memory overcommitted", result.overcommits());
        line(text, "invariants violated", result.violations());
        line(text, "weight store loads", result.weightStoreLoads());
        line(text, "object API writes", result.objectApiWrites());
        line(text, "cold starts", describe(result.coldStarts()));
        line(text, "time to first token", describe(result.firstTokens()));
        String idle = String.format(Locale.ROOT, "%.0f s", result.idleSeconds());
        line(text, "idle accelerator time", idle);
        result.problems().forEach(problem -> line(text, "problem", problem));
        line(text, "result", result.isSuccessful() ? "good" : "BROKEN");
        return text.toString();
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append(String.format(Locale.ROOT, "%-36s %s%n", name, value));
    }

    private static String describe(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "n=%d p50=%.1f ms p99=%.1f ms max=%.1f ms",
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getMaxValue() / 1e3);
    }
}
