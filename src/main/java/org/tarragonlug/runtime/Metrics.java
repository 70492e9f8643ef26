package org.tarragonlug.runtime;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The metrics of one process, each registered once; docs/operations.md explains them. */
public final class Metrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.33, 0.5, 1, 2.5, 5, 10, 30, 60
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Counter refusals;
    private final Counter invariantViolations;
    private final Counter attempts;
    private final Counter attemptFailures;
    private final Counter orders;
    private final Counter objectApiCalls;
    private final Counter peerBytes;
    private final Counter tokens;
    private final Gauge waitingRequests;
    private final Gauge configurationVersion;
    private final Gauge readyReplicas;
    private final Gauge eventLoopQueue;
    private final Histogram firstTokenSeconds;
    private final Histogram coldStartSeconds;

    /** Registers all metrics in a registry of their own. */
    public Metrics() {
        requests = counter("requests_total", "Complete requests received", "kind");
        refusals = counter("refusals_total", "Requests refused", "code", "execution");
        invariantViolations = counter("invariant_violations_total", "Violated invariants", "invariant");
        attempts = counter("attempts_total", "Attempts sent to backend servers", "kind");
        attemptFailures = counter("attempt_failures_total", "Failed attempts", "failure");
        orders = counter("orders_total", "Orders sent to engines", "kind", "outcome");
        objectApiCalls = counter("object_api_calls_total", "Object API calls", "call", "result");
        peerBytes = counter("peer_bytes_total", "Bytes exchanged with peers", "direction");
        tokens = counter("tokens_total", "Tokens forwarded to callers");
        waitingRequests = gauge("waiting_requests", "Requests received and not yet ended");
        configurationVersion = gauge("configuration_version", "Configuration version in force");
        readyReplicas = gauge("ready_replicas", "Ready replicas known here");
        eventLoopQueue = gauge("event_loop_queue", "Tasks waiting in the event loop");
        firstTokenSeconds = histogram("first_token_seconds", "Time to the first token");
        coldStartSeconds = histogram("cold_start_seconds", "Wait of requests that met no ready replica");
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .withoutExemplars()
                .name("tarragonlug_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder()
                .withoutExemplars()
                .name("tarragonlug_" + name)
                .help(help)
                .register(registry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .withoutExemplars()
                .name("tarragonlug_" + name)
                .help(help)
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .classicOnly()
                .register(registry);
    }

    /** Returns the counter of requests by kind, model or service. */
    public Counter requests() {
        return requests;
    }

    /** Returns the counter of refusals by code and execution. */
    public Counter refusals() {
        return refusals;
    }

    /** Returns the counter of violated invariants. */
    public Counter invariantViolations() {
        return invariantViolations;
    }

    /** Returns the counter of attempts by kind. */
    public Counter attempts() {
        return attempts;
    }

    /** Returns the counter of failed attempts by failure. */
    public Counter attemptFailures() {
        return attemptFailures;
    }

    /** Returns the counter of orders by kind and outcome. */
    public Counter orders() {
        return orders;
    }

    /** Returns the counter of object API calls by call and result. */
    public Counter objectApiCalls() {
        return objectApiCalls;
    }

    /** Returns the counter of bytes exchanged with peers by direction. */
    public Counter peerBytes() {
        return peerBytes;
    }

    /** Returns the counter of forwarded tokens. */
    public Counter tokens() {
        return tokens;
    }

    /** Returns the gauge of waiting requests. */
    public Gauge waitingRequests() {
        return waitingRequests;
    }

    /** Returns the gauge of the configuration version. */
    public Gauge configurationVersion() {
        return configurationVersion;
    }

    /** Returns the gauge of ready replicas. */
    public Gauge readyReplicas() {
        return readyReplicas;
    }

    /** Returns the gauge of the event loop's queue. */
    public Gauge eventLoopQueue() {
        return eventLoopQueue;
    }

    /** Returns the histogram of times to the first token, seconds. */
    public Histogram firstTokenSeconds() {
        return firstTokenSeconds;
    }

    /** Returns the histogram of cold-start waits, seconds. */
    public Histogram coldStartSeconds() {
        return coldStartSeconds;
    }

    /** Writes all metrics in Prometheus' text format. */
    public byte[] toPrometheusText() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return output.toByteArray();
    }
}
