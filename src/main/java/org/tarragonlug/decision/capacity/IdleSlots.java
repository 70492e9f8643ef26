package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** Finds slots that can be unloaded without interrupting requests. */
final class IdleSlots {
    private final LoadTimes loadTimes;
    private final GroupView view;
    private final KeepWarmPolicy policy;

    IdleSlots(LoadTimes loadTimes, GroupView view, KeepWarmPolicy policy) {
        this.loadTimes = loadTimes;
        this.view = view;
        this.policy = policy;
    }

    /**
     * Tells whether a slot is ready, has no requests in progress according to a recent report, and
     * there is no demand for its artifact.
     */
    boolean isIdle(Slot slot, CapacityRecord record, Instant now) {
        return slot.state() == SlotState.READY
                && view.demand(slot.artifact()).isIdle()
                && isUnused(slot, record, now);
    }

    /**
     * Tells whether a slot is ready and has no requests in progress according to a recent report,
     * even if requests wait for its artifact.
     */
    boolean isUnused(Slot slot, CapacityRecord record, Instant now) {
        return slot.state() == SlotState.READY
                && !view.index(record).isBaseOfAdapters(slot)
                && view.freshReport(slot.server(), now)
                        .filter(report -> !report.inProgress().contains(slot.artifact()))
                        .isPresent();
    }

    /**
     * Returns the number of replicas of an artifact beyond its minimum; negative if there are
     * fewer.
     */
    int spareReplicas(ArtifactId artifact, CapacityRecord record) {
        long decided =
                view.index(record).slotsOf(artifact).stream()
                        .filter(s -> s.state().isLoadingOrReady())
                        .count();
        int minimum = view.effectiveLimit(artifact).map(a -> a.limit().minimumReplicas()).orElse(0);
        return (int) decided - minimum;
    }

    /**
     * Returns the artifacts, except {@code kept}, that may be unloaded on a server to free memory.
     */
    List<ServerCandidate.IdleArtifact> unloadable(
            ServerId server, CapacityRecord record, Optional<ArtifactId> kept, Instant now) {
        List<ServerCandidate.IdleArtifact> found = new ArrayList<>();
        for (Slot slot : view.index(record).slotsOn(server)) {
            boolean mayUnload =
                    isIdle(slot, record, now)
                            && !kept.equals(Optional.of(slot.artifact()))
                            && spareReplicas(slot.artifact(), record) > 0;
            if (mayUnload) {
                found.add(
                        new ServerCandidate.IdleArtifact(
                                slot.artifact(), slot.memoryBytes(), benefit(slot, now)));
            }
        }
        return found;
    }

    /** Tells whether an idle slot has been kept as long as the keep-warm policy requires. */
    boolean hasExpired(Slot slot, Instant now) {
        Duration keep =
                policy.keepFor(
                        slot.artifact(), coldStart(slot), coldStartWeight(slot.artifact()), now);
        Instant lastUsed = view.lastUsed(slot.artifact(), now);
        // Compares durations, because adding a very long duration to an instant would overflow.
        return Duration.between(lastUsed, now).compareTo(keep) >= 0;
    }

    double coldStartWeight(ArtifactId artifact) {
        return view.effectiveLimit(artifact)
                .map(GroupView.EffectiveLimit::coldStartWeight)
                .orElse(0.0);
    }

    private double benefit(Slot slot, Instant now) {
        return policy.expectedBenefit(
                slot.artifact(), coldStart(slot), coldStartWeight(slot.artifact()), now);
    }

    private Duration coldStart(Slot slot) {
        CacheTier tier = view.tier(slot.server(), slot.artifact());
        return view.effectiveLimit(slot.artifact())
                .map(effectiveLimit -> loadTimes.expected(effectiveLimit.limit(), tier))
                .orElse(Duration.ZERO);
    }
}
