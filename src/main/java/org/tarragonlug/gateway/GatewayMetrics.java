package org.tarragonlug.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;

/** The metrics of a gateway process. */
final class GatewayMetrics {
    private static final double[] SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12
    };
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_forwarded_requests_total")
                    .help("Forwarded requests by outcome")
                    .labelNames("outcome")
                    .register(registry);
    private final Histogram duration =
            Histogram.builder()
                    .withoutExemplars()
                    .name("tarragonlug_forwarded_request_seconds")
                    .help("Time from the arrival of a request to its end")
                    .classicUpperBounds(SECONDS)
                    .classicOnly()
                    .register(registry);
    private final Counter orders =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_engine_orders_total")
                    .help("Orders to engines by action and result")
                    .labelNames("action", "result")
                    .register(registry);
    private final Gauge waiting =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_waiting_requests")
                    .help("Requests that wait for a server")
                    .register(registry);
    private final Gauge holding =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_order_lease_held")
                    .help("1 while this process may give orders")
                    .register(registry);
    private final Gauge version =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_configuration_version")
                    .help("Configuration version in force")
                    .register(registry);

    void ended(String outcome, Duration taken) {
        requests.labelValues(outcome).inc();
        duration.observe(taken.toMillis() / MILLIS_PER_SECOND);
    }

    void order(String action, String result) {
        orders.labelValues(action, result).inc();
    }

    void waiting(long count) {
        waiting.set(count);
    }

    void holding(boolean held) {
        holding.set(held ? 1 : 0);
    }

    void version(long inForce) {
        version.set(inForce);
    }

    /** Writes all metrics in Prometheus' text format. */
    byte[] text() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return output.toByteArray();
    }
}
