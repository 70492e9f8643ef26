package org.tarragonlug.runtime;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/** Guards against an unnoticed change of metrics, on which operators' dashboards are built. */
class MetricsTest {
    @Test
    void metricNamesLabelsAndTypesMatchApprovedList() {
        Metrics metrics = new Metrics();
        metrics.requests().labelValues("r").inc();
        metrics.refusals().labelValues("c", "e").inc();
        metrics.invariantViolations().labelValues("i").inc();
        metrics.attempts().labelValues("k").inc();
        metrics.attemptFailures().labelValues("f").inc();
        metrics.orders().labelValues("k", "o").inc();
        metrics.objectApiCalls().labelValues("c", "r").inc();
        metrics.peerBytes().labelValues("d").inc();
        String text = new String(metrics.toPrometheusText(), StandardCharsets.UTF_8);
        Approved.verify(
                text.lines()
                        .filter(line -> !line.contains("_bucket"))
                        .map(line -> line.replaceFirst(" [0-9.]+$", ""))
                        .collect(Collectors.joining("\n", "", "\n")));
    }
}
