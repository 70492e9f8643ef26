package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** Tells where artifacts may be used, and their state for the status page, on each change. */
final class ReplicaPublisher {
    private final LoadTimes loadTimes;
    private final GroupView view;
    private final RecordWriter writer;
    private final OrderTracker tracker;
    private final StandbyUse standbyUse;
    private final Map<ArtifactId, CapacityCommand> published = new HashMap<>();
    private final Map<ArtifactId, CapacityCommand> reported = new HashMap<>();

    ReplicaPublisher(
            LoadTimes loadTimes,
            GroupView view,
            RecordWriter writer,
            OrderTracker tracker,
            StandbyUse standbyUse) {
        this.loadTimes = loadTimes;
        this.view = view;
        this.writer = writer;
        this.tracker = tracker;
        this.standbyUse = standbyUse;
    }

    /** Makes the next call send everything again. */
    void reset() {
        published.clear();
        reported.clear();
    }

    List<CapacityCommand> changes(ReplicaDecisions replicas) {
        CapacityRecord record = writer.record();
        Set<ArtifactId> artifacts = new HashSet<>(published.keySet());
        record.slots().forEach(slot -> artifacts.add(slot.artifact()));
        record.standbySlots().forEach(s -> standbyUse.occupant(s).ifPresent(artifacts::add));
        artifacts.addAll(view.artifactsInDemand());
        // Sorts only what changed: comparing artifact ids builds their text forms.
        Map<ArtifactId, List<CapacityCommand>> changed = new TreeMap<>();
        for (ArtifactId artifact : artifacts) {
            List<CapacityCommand> commands = new ArrayList<>(2);
            publish(artifact, view.index(record).slotsOf(artifact), replicas, commands);
            if (!commands.isEmpty()) {
                changed.put(artifact, commands);
            }
        }
        return changed.values().stream().flatMap(List::stream).toList();
    }

    private void publish(
            ArtifactId artifact,
            List<Slot> slots,
            ReplicaDecisions replicas,
            List<CapacityCommand> commands) {
        Set<ServerId> ready = new HashSet<>();
        int loading = 0;
        Optional<Instant> expected = Optional.empty();
        for (Slot slot : slots) {
            if (isReady(slot)) {
                ready.add(slot.server());
            } else if (slot.state() == SlotState.LOADING) {
                loading++;
                expected = expected.or(() -> expectedReadyAt(slot));
            }
        }
        for (StandbySlot standby : writer.record().standbySlots()) {
            if (standbyUse.occupant(standby).equals(Optional.of(artifact))) {
                if (standbyUse.isReady(standby)) {
                    ready.add(standby.server());
                } else {
                    loading++;
                }
            }
        }
        List<ServerId> usable = ready.stream().filter(s -> !view.isLeaving(s)).sorted().toList();
        CapacityCommand publication =
                new CapacityCommand.PublishReplicas(artifact, usable, loading > 0, expected);
        if (!publication.equals(published.put(artifact, publication))) {
            commands.add(publication);
        }
        CapacityCommand report =
                new CapacityCommand.ReportArtifact(
                        artifact, usable.size(), loading, replicas.refusal(artifact));
        if (!report.equals(reported.put(artifact, report))) {
            commands.add(report);
        }
    }

    private boolean isReady(Slot slot) {
        boolean confirmed =
                tracker.findLoad(slot.artifact(), slot.server())
                        .filter(own -> own.hasAnswer() && own.outcome == OrderOutcome.DONE)
                        .filter(own -> slot.order(own.order.operation()).isPresent())
                        .isPresent();
        return slot.state() == SlotState.READY || slot.state() == SlotState.LOADING && confirmed;
    }

    private Optional<Instant> expectedReadyAt(Slot slot) {
        CacheTier tier = view.tier(slot.server(), slot.artifact());
        Optional<ArtifactLimit> limit =
                view.effectiveLimit(slot.artifact())
                        .map(GroupView.EffectiveLimit::limit)
                        .filter(known -> loadTimes.hasObservations(known, tier));
        return limit.flatMap(
                known -> lastLoad(slot).map(at -> at.plus(loadTimes.expected(known, tier))));
    }

    private static Optional<Instant> lastLoad(Slot slot) {
        return slot.openOrders().stream()
                .filter(order -> order.kind() == OrderKind.LOAD)
                .map(OpenOrder::writtenAt)
                .max(Instant::compareTo);
    }
}
