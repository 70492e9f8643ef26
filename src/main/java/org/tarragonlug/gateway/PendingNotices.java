package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.peer.GatewayMessage;

/**
 * Notices that a lease holder has not yet sent to the instances that report to it.
 *
 * <p>A change of a replica is urgent only for instances whose requests wait for that model. The
 * other instances receive it with the answer to their next report. The number of messages therefore
 * grows with the number of reports, and not with the number of changes times the number of
 * instances.
 */
final class PendingNotices {
    /** An instance that has not reported for this long is removed and receives no more notices. */
    private static final Duration REPORTER_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Maximum number of pending replica changes per instance. If there are more, the oldest are
     * dropped, and the instance learns of these changes from the listings.
     */
    private static final int MAX_PENDING_REPLICAS = 400;

    /**
     * How long after a notice with the sender's whole state the following ones to the same instance
     * leave it out. Below the period of the regular reports, so that each of these is answered with
     * it.
     */
    private static final Duration STATE_INTERVAL = Duration.ofMillis(300);

    /** An instance that reports, with the notices that have not been sent to it. */
    private static final class Reporter {
        private Instant lastReportAt;
        private Set<ModelKey> awaitedModels = Set.of();
        private boolean urgent;
        private Instant stateSentAt = Instant.EPOCH;
        private List<GatewayMessage.LeaseStatus> leases = List.of();
        private Set<ServerId> suspected = Set.of();
        private final Deque<GatewayMessage.ReplicaChange> replicas = new ArrayDeque<>();
        private final List<GatewayMessage.ReadinessEstimate> expectations = new ArrayList<>();
    }

    /**
     * Notices for one instance.
     *
     * @param replicas changes of replicas, oldest first
     * @param expectations expected times at which models will be ready
     */
    record Notices(
            List<GatewayMessage.ReplicaChange> replicas,
            List<GatewayMessage.ReadinessEstimate> expectations) {}

    private final Map<InstanceId, Reporter> reporters = new LinkedHashMap<>();

    /** Records a report: when the instance reported, and which models its requests wait for. */
    void onReport(InstanceId from, List<ModelDemand> demands, Instant now) {
        Reporter reporter = reporters.computeIfAbsent(from, each -> new Reporter());
        reporter.lastReportAt = now;
        reporter.awaitedModels =
                demands.stream()
                        .filter(each -> each.waiting() > 0)
                        .map(ModelDemand::key)
                        .collect(Collectors.toSet());
    }

    /** Removes instances that stopped reporting, and returns the number of the others. */
    int reporterCount(Instant now) {
        reporters.values().removeIf(each -> now.isAfter(each.lastReportAt.plus(REPORTER_TIMEOUT)));
        return reporters.size();
    }

    /** Returns the instances that report. */
    Set<InstanceId> reporters(Instant now) {
        reporterCount(now);
        return Set.copyOf(reporters.keySet());
    }

    /** Returns the instance that reported last; empty if no reporter is known. */
    Optional<InstanceId> latestReporter() {
        InstanceId latest = null;
        Instant latestReportAt = Instant.MIN;
        for (Map.Entry<InstanceId, Reporter> each : reporters.entrySet()) {
            if (each.getValue().lastReportAt.isAfter(latestReportAt)) {
                latestReportAt = each.getValue().lastReportAt;
                latest = each.getKey();
            }
        }
        return Optional.ofNullable(latest);
    }

    void add(GatewayMessage.ReplicaChange replica) {
        for (Reporter reporter : reporters.values()) {
            reporter.replicas.addLast(replica);
            if (reporter.replicas.size() > MAX_PENDING_REPLICAS) {
                reporter.replicas.removeFirst();
            }
            reporter.urgent |= replica.held() && reporter.awaitedModels.contains(replica.key());
        }
    }

    void add(GatewayMessage.ReadinessEstimate expectation) {
        for (Reporter reporter : reporters.values()) {
            if (reporter.awaitedModels.contains(expectation.key())) {
                reporter.expectations.add(expectation);
                reporter.urgent = true;
            }
        }
    }

    /** Returns the instances to which notices should be sent without waiting for their report. */
    Set<InstanceId> urgentReceivers() {
        Set<InstanceId> urgent = new LinkedHashSet<>();
        reporters.forEach(
                (instance, reporter) -> {
                    if (reporter.urgent) {
                        urgent.add(instance);
                    }
                });
        return urgent;
    }

    /**
     * Tells whether the next notice to an instance must contain the sender's whole state: the last
     * one with it was sent a while ago, or what instances must know at once has changed since. If
     * so, the state counts as sent now.
     *
     * @param leases what the sender states about leases
     * @param suspected the servers that several instances cannot reach
     */
    boolean isStateDue(
            InstanceId instance,
            List<GatewayMessage.LeaseStatus> leases,
            Set<ServerId> suspected,
            Instant now) {
        Reporter reporter = reporters.get(instance);
        if (reporter == null) {
            return true;
        }
        if (now.isBefore(reporter.stateSentAt.plus(STATE_INTERVAL))
                && leases.equals(reporter.leases)
                && suspected.equals(reporter.suspected)) {
            return false;
        }
        reporter.stateSentAt = now;
        reporter.leases = leases;
        reporter.suspected = suspected;
        return true;
    }

    /** Returns and removes the pending notices for an instance. */
    Notices poll(InstanceId instance) {
        Reporter reporter = reporters.get(instance);
        if (reporter == null) {
            return new Notices(List.of(), List.of());
        }
        Notices notices =
                new Notices(List.copyOf(reporter.replicas), List.copyOf(reporter.expectations));
        reporter.replicas.clear();
        reporter.expectations.clear();
        reporter.urgent = false;
        return notices;
    }
}
