package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** Finds slots that may be unloaded without interrupting anything. */
final class IdleSlots {
    private final LoadTimes loadTimes;
    private final GroupView view;
    private final KeepWarmPolicy policy;

    IdleSlots(LoadTimes loadTimes, GroupView view, KeepWarmPolicy policy) {
        this.loadTimes = loadTimes;
        this.view = view;
        this.policy = policy;
    }

    /** Tells whether nothing uses a ready slot; only a fresh report can show that. */
    boolean isIdle(Slot slot, CapacityRecord record, Instant now) {
        return slot.state() == SlotState.READY
                && view.demand(slot.artifact()).isIdle()
                && isUnused(slot, record, now);
    }

    /** Tells whether nothing runs on a ready slot, whatever waits for its artifact. */
    boolean isUnused(Slot slot, CapacityRecord record, Instant now) {
        return slot.state() == SlotState.READY
                && !view.index(record).isBaseOfAdapters(slot)
                && view.freshReport(slot.server(), now)
                        .filter(report -> !report.inProgress().contains(slot.artifact()))
                        .isPresent();
    }

    /** Returns how many replicas of an artifact are decided beyond its minimum. */
    int spareReplicas(ArtifactId artifact, CapacityRecord record) {
        long wanted =
                view.index(record).slotsOf(artifact).stream()
                        .filter(s -> s.state().isLoadingOrReady())
                        .count();
        int minimum = view.effectiveLimit(artifact).map(a -> a.limit().minimumReplicas()).orElse(0);
        return (int) wanted - minimum;
    }

    /** Returns what may be unloaded on a server to make room. */
    List<ServerCandidate.IdleArtifact> unloadable(
            ServerId server, CapacityRecord record, Optional<ArtifactId> kept, Instant now) {
        List<ServerCandidate.IdleArtifact> found = new ArrayList<>();
        for (Slot slot : view.index(record).slotsOn(server)) {
            boolean free =
                    isIdle(slot, record, now)
                            && !kept.equals(Optional.of(slot.artifact()))
                            && spareReplicas(slot.artifact(), record) > 0;
            if (free) {
                found.add(
                        new ServerCandidate.IdleArtifact(
                                slot.artifact(), slot.memoryBytes(), benefit(slot, now)));
            }
        }
        return found;
    }

    /** Tells whether keeping an idle slot any longer costs more than it is worth. */
    boolean hasExpired(Slot slot, Instant now) {
        Duration keep =
                policy.keepFor(slot.artifact(), coldStart(slot), coldStartWeight(slot.artifact()), now);
        Instant lastUsed = view.lastUsed(slot.artifact(), now);
        // Compares durations, because adding a very long one to an instant would overflow.
        return Duration.between(lastUsed, now).compareTo(keep) >= 0;
    }

    double coldStartWeight(ArtifactId artifact) {
        return view.effectiveLimit(artifact).map(GroupView.EffectiveLimit::coldStartWeight).orElse(0.0);
    }

    private double benefit(Slot slot, Instant now) {
        return policy.expectedBenefit(
                slot.artifact(), coldStart(slot), coldStartWeight(slot.artifact()), now);
    }

    private Duration coldStart(Slot slot) {
        CacheTier tier = view.tier(slot.server(), slot.artifact());
        return view.effectiveLimit(slot.artifact())
                .map(allowed -> loadTimes.expected(allowed.limit(), tier))
                .orElse(Duration.ZERO);
    }
}
