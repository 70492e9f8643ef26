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
import java.util.Locale;
import java.util.Map;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.Availability;
import org.tarragonlug.decision.forwarding.CancelReason;
import org.tarragonlug.decision.forwarding.LimitCause;
import org.tarragonlug.decision.forwarding.RefusalReason;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.decision.forwarding.SlotRefusal;
import org.tarragonlug.id.StoreEra;

/** Prometheus metrics of a gateway process. */
final class GatewayMetrics {
    private static final double[] DURATION_BUCKETS_SECONDS = {
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
    private final Histogram requestDuration =
            Histogram.builder()
                    .withoutExemplars()
                    .name("tarragonlug_forwarded_request_seconds")
                    .help("Time from the arrival of a request to its end")
                    .classicUpperBounds(DURATION_BUCKETS_SECONDS)
                    .classicOnly()
                    .register(registry);
    private final Counter orders =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_engine_orders_total")
                    .help("Orders to engines by action and result")
                    .labelNames("action", "result")
                    .register(registry);
    private final Counter brokenAnswers =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_answers_broken_total")
                    .help("Answers of servers that broke off, by what had been received")
                    .labelNames("received")
                    .register(registry);
    private final Counter cancelledSends =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_sends_cancelled_total")
                    .help("Sends that ended before their servers had answered, by the reason")
                    .labelNames("reason")
                    .register(registry);
    private final Counter slotReservations =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_slot_reservations_total")
                    .help("Slots that model servers were asked to reserve, by their answer")
                    .labelNames("answer")
                    .register(registry);
    private final Counter withdrawnRequests =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_requests_withdrawn_total")
                    .help("Requests whose server stopped wanting them before they were written")
                    .register(registry);
    private final Counter secondAnswers =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_answers_begun_anew_total")
                    .help("Answers of servers that stopped and began anew within their body")
                    .register(registry);
    private final Counter skippedAnswers =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_answers_skipped_total")
                    .help("Late answers of servers to other requests, which were skipped")
                    .register(registry);
    private final Counter lateEvents =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_attempt_events_discarded_total")
                    .help("Events of attempts that were not under way any more")
                    .register(registry);
    private final Counter movesToNewConnections =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_connections_avoided_total")
                    .help("Requests sent on a new connection because a kept one had carried them")
                    .register(registry);
    private final Counter notices =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_notices_total")
                    .help("News that servers gave about themselves with their answers")
                    .labelNames("kind")
                    .register(registry);
    private final Counter refusedKeys =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_keys_refused_total")
                    .help("Requests refused for their keys, by what they stated and the reason")
                    .labelNames("credential", "reason")
                    .register(registry);
    private final Counter configurationReads =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_configuration_reads_total")
                    .help("Reads of the configuration because of unknown keys")
                    .labelNames("result")
                    .register(registry);
    private final Gauge accounts =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_client_accounts")
                    .help("Client accounts of the configuration in force")
                    .register(registry);
    private final Gauge servers =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_servers")
                    .help("Listed servers by whether they get requests, or why not")
                    .labelNames("availability")
                    .register(registry);
    private final Gauge limitedServers =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_servers_limited")
                    .help("Listed servers whose requests in flight are limited, by cause")
                    .labelNames("cause")
                    .register(registry);
    private final Gauge slowServers =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_slow_servers")
                    .help("Listed servers on which work takes 1.3 times as long as usual, or more")
                    .register(registry);
    private final Counter serverLosses =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_server_losses_total")
                    .help("Servers that ended while requests of this instance waited there")
                    .register(registry);
    private final Gauge quarantinedTraits =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_quarantined_traits")
                    .help("What requests have in common that are refused since they crash servers")
                    .register(registry);
    private final Gauge quotaLenderHeard =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_quota_lender_heard")
                    .help("1 while the instance that gives allowance answers")
                    .register(registry);
    private final Gauge quotaInstances =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_quota_instances")
                    .help("Instances among which quotas are divided; 0 if not known")
                    .register(registry);
    private final Gauge quotaExceededAccounts =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_quota_exceeded_accounts")
                    .help("Accounts whose requests were refused for their quota recently")
                    .register(registry);
    private final Counter quotaCalls =
            Counter.builder()
                    .withoutExemplars()
                    .name("tarragonlug_quota_calls_total")
                    .help("Requests for allowance between two reports")
                    .register(registry);
    private final Gauge waitingRequests =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_waiting_requests")
                    .help("Requests that wait for a server")
                    .register(registry);
    private final Gauge leaseHeld =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_order_lease_held")
                    .help("1 while this process may give orders")
                    .register(registry);
    private final Gauge configurationVersion =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_configuration_version")
                    .help("Configuration version in force")
                    .register(registry);

    private final Gauge storeEra =
            Gauge.builder()
                    .withoutExemplars()
                    .name("tarragonlug_store_era")
                    .help("Era that the store states; 0 if it states none")
                    .register(registry);

    void recordRequest(String outcome, Duration elapsed) {
        requests.labelValues(outcome).inc();
        requestDuration.observe(elapsed.toMillis() / MILLIS_PER_SECOND);
    }

    void recordBrokenAnswer(AnswerProgress received) {
        brokenAnswers.labelValues(lowerCase(received)).inc();
    }

    void recordCancelledSend(CancelReason reason) {
        cancelledSends.labelValues(lowerCase(reason)).inc();
    }

    void recordReservedSlot() {
        slotReservations.labelValues("reserved").inc();
    }

    void recordRefusedSlot(SlotRefusal refusal) {
        slotReservations.labelValues(lowerCase(refusal)).inc();
    }

    void recordWithdrawnRequest() {
        withdrawnRequests.inc();
    }

    void recordSecondAnswer() {
        secondAnswers.inc();
    }

    void recordSkippedAnswer() {
        skippedAnswers.inc();
    }

    void recordLateEvent() {
        lateEvents.inc();
    }

    void recordMoveToNewConnection() {
        movesToNewConnections.inc();
    }

    void recordRefusedKey(Credential credential, RefusalReason reason) {
        refusedKeys.labelValues(lowerCase(credential.state()), lowerCase(reason)).inc();
    }

    void recordConfigurationRead(boolean succeeded) {
        configurationReads.labelValues(succeeded ? "succeeded" : "failed").inc();
    }

    void setAccounts(int count) {
        accounts.set(count);
    }

    /** Counts each kind of news in a notice. */
    void recordNotice(ServerNotice notice) {
        if (notice.leaving()) {
            notices.labelValues("leaving").inc();
        }
        if (notice.pause().isPresent()) {
            notices.labelValues("pause").inc();
        }
        notice.faults().forEach(fault -> notices.labelValues(lowerCase(fault)).inc());
    }

    void setServers(Map<Availability, Integer> counts) {
        counts.forEach(
                (availability, count) -> servers.labelValues(lowerCase(availability)).set(count));
    }

    void setLimitedServers(Map<LimitCause, Integer> counts) {
        counts.forEach((cause, count) -> limitedServers.labelValues(lowerCase(cause)).set(count));
    }

    void setSlowServers(long count) {
        slowServers.set(count);
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    void recordServerLoss() {
        serverLosses.inc();
    }

    void setQuarantinedTraits(int count) {
        quarantinedTraits.set(count);
    }

    void recordOrder(String action, String result) {
        orders.labelValues(action, result).inc();
    }

    void setQuota(boolean lenderHeard, int instances) {
        quotaLenderHeard.set(lenderHeard ? 1 : 0);
        quotaInstances.set(instances);
    }

    void changeQuotaExceededAccounts(int change) {
        quotaExceededAccounts.inc(change);
    }

    void recordQuotaCall() {
        quotaCalls.inc();
    }

    void setWaitingRequests(long count) {
        waitingRequests.set(count);
    }

    void setLeaseHeld(boolean held) {
        leaseHeld.set(held ? 1 : 0);
    }

    void setStoreEra(StoreEra era) {
        storeEra.set(era.value());
    }

    void setConfigurationVersion(long version) {
        configurationVersion.set(version);
    }

    /** Returns all metrics in the Prometheus text format. */
    byte[] toPrometheusText() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return output.toByteArray();
    }
}
