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
import org.tarragonlug.peer.PeerMessage;

/**
 * What a holder of order leases has still to tell each instance that reports to it.
 *
 * <p>A change of a replica is urgent only for the instances whose requests wait for it; the others
 * learn of it with the answer to their next report. So the messages grow with the reports, not with
 * the changes times the instances.
 */
final class NoticeBoard {
    /** An instance that was silent for this long does not get notices any more. */
    private static final Duration REPORTER_VALID = Duration.ofSeconds(3);

    /** Older notices are dropped; listings make up for them. */
    private static final int MOST_NOTICES = 400;

    /** What an instance has not been told yet. */
    private static final class Reporter {
        private Instant reportedAt;
        private Set<ModelKey> waiting = Set.of();
        private boolean urgent;
        private final Deque<PeerMessage.ReplicaChange> replicas = new ArrayDeque<>();
        private final List<PeerMessage.ReadinessEstimate> expectations = new ArrayList<>();
    }

    /**
     * Notices for one instance.
     *
     * @param replicas changes of replicas, in their order
     * @param expectations when models will be ready
     */
    record Notices(
            List<PeerMessage.ReplicaChange> replicas,
            List<PeerMessage.ReadinessEstimate> expectations) {}

    private final Map<InstanceId, Reporter> reporters = new LinkedHashMap<>();

    /** An instance has reported its demand. */
    void reported(InstanceId from, List<ModelDemand> demands, Instant now) {
        Reporter reporter = reporters.computeIfAbsent(from, each -> new Reporter());
        reporter.reportedAt = now;
        reporter.waiting =
                demands.stream()
                        .filter(each -> each.waiting() > 0)
                        .map(ModelDemand::key)
                        .collect(Collectors.toSet());
    }

    /** Returns the number of instances that report. */
    int size(Instant now) {
        reporters.values().removeIf(each -> now.isAfter(each.reportedAt.plus(REPORTER_VALID)));
        return reporters.size();
    }

    /** Returns the instance that reported last. */
    Optional<InstanceId> newest() {
        InstanceId newest = null;
        Instant at = Instant.MIN;
        for (Map.Entry<InstanceId, Reporter> each : reporters.entrySet()) {
            if (each.getValue().reportedAt.isAfter(at)) {
                at = each.getValue().reportedAt;
                newest = each.getKey();
            }
        }
        return Optional.ofNullable(newest);
    }

    void add(PeerMessage.ReplicaChange replica) {
        for (Reporter reporter : reporters.values()) {
            reporter.replicas.addLast(replica);
            if (reporter.replicas.size() > MOST_NOTICES) {
                reporter.replicas.removeFirst();
            }
            reporter.urgent |= replica.held() && reporter.waiting.contains(replica.key());
        }
    }

    void add(PeerMessage.ReadinessEstimate expectation) {
        for (Reporter reporter : reporters.values()) {
            if (reporter.waiting.contains(expectation.key())) {
                reporter.expectations.add(expectation);
                reporter.urgent = true;
            }
        }
    }

    /** Returns the instances that must be told at once. */
    Set<InstanceId> urgent() {
        Set<InstanceId> urgent = new LinkedHashSet<>();
        reporters.forEach(
                (instance, reporter) -> {
                    if (reporter.urgent) {
                        urgent.add(instance);
                    }
                });
        return urgent;
    }

    /** Returns what an instance has not been told yet, and counts it as told. */
    Notices take(InstanceId instance) {
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
