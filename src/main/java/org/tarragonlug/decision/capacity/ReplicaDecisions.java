package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;

/** Decides how many replicas each artifact needs and gets them loaded. */
final class ReplicaDecisions {
    private static final Duration PREWARM_PERIOD = Duration.ofSeconds(10);

    private final CapacitySettings settings;
    private final LoadTimes loadTimes;
    private final GroupView view;
    private final KeepWarmPolicy policy;
    private final LoadFailures failures;
    private final ReplicaPlacer placer;
    private final QueueTrend trend = new QueueTrend();
    private final Set<ArtifactId> prewarming = new HashSet<>();
    private final Map<ArtifactId, CapacityRefusal> refusals = new HashMap<>();
    private Instant nextPrewarm = Instant.MIN;

    ReplicaDecisions(
            CapacitySettings settings,
            LoadTimes loadTimes,
            GroupView view,
            KeepWarmPolicy policy,
            LoadFailures failures,
            ReplicaPlacer placer) {
        this.settings = settings;
        this.loadTimes = loadTimes;
        this.view = view;
        this.policy = policy;
        this.failures = failures;
        this.placer = placer;
    }

    Optional<CapacityRefusal> refusal(ArtifactId artifact) {
        return Optional.ofNullable(refusals.get(artifact));
    }

    void refuse(ArtifactId artifact, CapacityRefusal refusal) {
        refusals.put(artifact, refusal);
    }

    void apply(Draft draft) {
        updatePrewarming(draft);
        refusals.clear();
        for (Slot slot : draft.record().slots()) {
            continueSlot(draft, slot);
        }
        for (ArtifactId artifact : artifactsByUrgency()) {
            Optional<GroupView.EffectiveLimit> allowed = view.effectiveLimit(artifact);
            if (allowed.isEmpty()) {
                refusals.put(artifact, CapacityRefusal.NOT_IN_ANY_POOL);
            } else {
                addMissingReplicas(draft, allowed.get().limit());
            }
        }
    }

    /** Tells whether a slot that is not ready should still be loaded. */
    boolean shouldLoad(Slot slot, CapacityRecord record) {
        return !view.demand(slot.artifact()).isIdle()
                || view.index(record).isBaseOfAdapters(slot)
                || prewarming.contains(slot.artifact())
                || view.effectiveLimit(slot.artifact())
                        .filter(a -> a.limit().minimumReplicas() > 0)
                        .isPresent();
    }

    private void updatePrewarming(Draft draft) {
        CapacityRecord record = draft.record();
        prewarming.removeIf(
                artifact ->
                        view.effectiveLimit(artifact).isEmpty()
                                || view.index(record).slotsOf(artifact).stream()
                                        .anyMatch(s -> s.state() == SlotState.READY));
        if (draft.now().isBefore(nextPrewarm)) {
            return;
        }
        nextPrewarm = draft.now().plus(PREWARM_PERIOD);
        prewarming.clear();
        for (GroupView.EffectiveLimit allowed : view.effectiveLimit()) {
            ArtifactId artifact = allowed.limit().artifact();
            Duration coldStart = loadTimes.expected(allowed.limit(), CacheTier.REMOTE);
            if (view.index(record).slotsOf(artifact).isEmpty()
                    && policy.shouldPrewarm(
                            artifact, coldStart, allowed.coldStartWeight(), draft.now())) {
                prewarming.add(artifact);
            }
        }
    }

    private void continueSlot(Draft draft, Slot slot) {
        boolean serverStays = !view.isLeaving(slot.server());
        if (slot.state() == SlotState.LOADING && serverStays && shouldLoad(slot, draft.record())) {
            continueLoad(draft, slot);
        }
        boolean unload =
                slot.state() == SlotState.UNLOADING
                        && draft.hasNoActiveOrder(slot, OrderKind.UNLOAD, view);
        boolean unresolvedLoadClosed = slot.state() == SlotState.UNSETTLED && !slot.hasOpen(OrderKind.LOAD);
        if (unload || unresolvedLoadClosed) {
            draft.orderUnload(slot);
        }
    }

    private void continueLoad(Draft draft, Slot slot) {
        if (!draft.hasNoActiveOrder(slot, OrderKind.LOAD, view)) {
            return;
        }
        boolean underWay =
                view.reportNewerThanState(slot)
                        .filter(report -> report.loading().containsKey(slot.artifact()))
                        .isPresent();
        if (underWay || !failures.mayRetry(slot.key(), draft.now())) {
            return;
        }
        boolean movable = !slot.hasOpen(OrderKind.LOAD) || view.checksFencingTokens(slot.server());
        boolean move =
                failures.isExhausted(slot.key())
                        && movable
                        && !draft.record().isBaseOfAdapters(slot)
                        && draft.record().servers().size() > 1;
        if (move) {
            draft.orderUnload(slot);
        } else {
            draft.orderLoad(slot);
        }
    }

    private List<ArtifactId> artifactsByUrgency() {
        Set<ArtifactId> wanted = new LinkedHashSet<>(view.artifactsInDemand());
        wanted.addAll(prewarming);
        view.effectiveLimit().stream()
                .map(GroupView.EffectiveLimit::limit)
                .filter(limit -> limit.minimumReplicas() > 0)
                .forEach(limit -> wanted.add(limit.artifact()));
        Comparator<ArtifactId> order =
                Comparator.comparing((ArtifactId a) -> view.demand(a).waiting() == 0)
                        .thenComparing(a -> view.demand(a).priority())
                        .thenComparing(a -> view.demand(a).earliestDeadline())
                        .thenComparing(Comparator.naturalOrder());
        return wanted.stream().sorted(order).toList();
    }

    private void addMissingReplicas(Draft draft, ArtifactLimit limit) {
        ArtifactId artifact = limit.artifact();
        List<Slot> usable = usable(draft, artifact);
        int missing = desired(draft, limit, usable) - usable.size();
        if (usable.stream().anyMatch(s -> failures.hasFailed(s.key()))) {
            refusals.put(artifact, CapacityRefusal.LOAD_FAILED);
        }
        for (int i = 0; i < missing; i++) {
            Optional<CapacityRefusal> refusal = placer.place(draft, limit);
            if (refusal.isPresent()) {
                refusals.put(artifact, refusal.get());
                return;
            }
        }
    }

    private List<Slot> usable(Draft draft, ArtifactId artifact) {
        return view.index(draft.record()).slotsOf(artifact).stream()
                .filter(slot -> slot.state().isLoadingOrReady())
                .filter(slot -> !view.isLeaving(slot.server()))
                .filter(slot -> view.isResponding(slot.server(), draft.now()))
                .toList();
    }

    private int desired(Draft draft, ArtifactLimit limit, List<Slot> usable) {
        GroupView.TotalDemand wanted = view.demand(limit.artifact());
        int desired = limit.minimumReplicas();
        if (prewarming.contains(limit.artifact())) {
            desired = Math.max(desired, 1);
        }
        boolean allReady =
                !usable.isEmpty() && usable.stream().allMatch(s -> s.state() == SlotState.READY);
        if (trend.isFallingBehind(limit.artifact(), wanted, allReady, draft.now())) {
            desired = Math.max(desired, usable.size() + 1);
        }
        if (wanted.waiting() > 0) {
            int requests = wanted.waiting() + wanted.running();
            int perReplica = settings.requestsPerReplica();
            desired = Math.max(desired, (requests + perReplica - 1) / perReplica);
        }
        return Math.min(desired, limit.maximumReplicas());
    }
}
