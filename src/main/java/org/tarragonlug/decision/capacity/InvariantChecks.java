package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/**
 * Checks the record and the reports of the engines against the invariants I1 (replicas within the
 * decision) and I2 (memory not overcommitted), and orders the unload of artifacts that the record
 * does not cover.
 *
 * <p>Reports are delayed, and the last known record may be out of date. An artifact without a slot
 * therefore counts as unrecorded only if this process knows every version of the record from before
 * the report until after it, and none of these versions contains the slot.
 */
final class InvariantChecks {
    private static final Duration UNLOAD_REPEAT_INTERVAL = Duration.ofSeconds(10);

    private static final class UnrecordedArtifact {
        private Instant reportedAt;
        private Instant nextUnload;
        private boolean violationReported;
    }

    private final GroupView view;
    private final RecordWriter writer;
    private final OrderTracker tracker;
    private final InvariantListener listener;
    private final Supplier<OperationId> operations;
    private final Map<Slot.Key, UnrecordedArtifact> unrecordedArtifacts = new HashMap<>();

    InvariantChecks(
            GroupView view,
            RecordWriter writer,
            OrderTracker tracker,
            InvariantListener listener,
            Supplier<OperationId> operations) {
        this.view = view;
        this.writer = writer;
        this.tracker = tracker;
        this.listener = listener;
        this.operations = operations;
    }

    void checkRecord(CapacityRecord record) {
        for (ServerId server : record.overcommittedServers()) {
            listener.invariantViolated(
                    Invariant.MEMORY_NOT_OVERCOMMITTED,
                    "source=record group=" + record.group() + " server=" + server);
        }
        for (ArtifactId artifact : record.artifactsDecidedTwice()) {
            listener.invariantViolated(
                    Invariant.REPLICAS_WITHIN_DECISION,
                    "source=record group=" + record.group() + " artifact=" + artifact);
        }
    }

    void checkReport(ServerReport report) {
        long used =
                Stream.concat(report.loaded().values().stream(), report.loading().values().stream())
                        .mapToLong(Long::longValue)
                        .sum();
        if (used > report.memoryBytes()) {
            listener.invariantViolated(
                    Invariant.MEMORY_NOT_OVERCOMMITTED,
                    "source=report server="
                            + report.server()
                            + " usedBytes="
                            + used
                            + " memoryBytes="
                            + report.memoryBytes());
        }
    }

    /**
     * Checks for artifacts that the record does not cover. The decider calls this while the object
     * API is up.
     */
    void checkUnrecorded(Instant now) {
        CapacityRecord record = writer.record();
        Set<Slot.Key> present = new HashSet<>();
        List<ServerReport> reports = view.reports().toList();
        for (ServerReport report : reports) {
            for (Map.Entry<ArtifactId, Long> held :
                    view.unrecordedArtifacts(report.server(), record).entrySet()) {
                Slot.Key key = new Slot.Key(held.getKey(), report.server());
                present.add(key);
                track(key, held.getValue(), report, now);
            }
        }
        unrecordedArtifacts.keySet().retainAll(present);
    }

    private void track(Slot.Key key, long bytes, ServerReport report, Instant now) {
        UnrecordedArtifact tracked =
                unrecordedArtifacts.computeIfAbsent(key, k -> new UnrecordedArtifact());
        Instant reliableFrom = writer.allVersionsKnownSince().plus(GroupView.REPORT_LAG);
        if (tracked.reportedAt == null || !tracked.reportedAt.isAfter(reliableFrom)) {
            tracked.reportedAt = report.receivedAt();
            tracked.nextUnload = now;
        }
        boolean certain =
                tracked.reportedAt.isAfter(reliableFrom)
                        && writer.allVersionsKnownUntil().isAfter(tracked.reportedAt);
        if (!certain) {
            return;
        }
        if (!tracked.violationReported && isBeyondDecision(key.artifact())) {
            tracked.violationReported = true;
            listener.invariantViolated(
                    Invariant.REPLICAS_WITHIN_DECISION,
                    "source=report artifact=" + key.artifact() + " server=" + key.server());
        }
        boolean idle =
                view.demand(key.artifact()).isIdle()
                        && !report.inProgress().contains(key.artifact());
        if (idle && !now.isBefore(tracked.nextUnload)) {
            tracked.nextUnload = now.plus(UNLOAD_REPEAT_INTERVAL);
            unload(key, bytes);
        }
    }

    private boolean isBeyondDecision(ArtifactId artifact) {
        long reportingServers =
                view.reports()
                        .filter(
                                r ->
                                        r.loaded().containsKey(artifact)
                                                || r.loading().containsKey(artifact))
                        .count();
        return reportingServers > view.index(writer.record()).decidedServers(artifact).size();
    }

    private void unload(Slot.Key key, long bytes) {
        tracker.add(
                new Order(
                        operations.get(),
                        OrderKind.UNLOAD,
                        key.server(),
                        key.artifact(),
                        Optional.empty(),
                        bytes,
                        new FencingToken(writer.record().revision())),
                true);
    }
}
