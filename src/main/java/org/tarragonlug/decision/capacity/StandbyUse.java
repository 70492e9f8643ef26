package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;

/**
 * Loads artifacts into the standby slots of this process while the object API is down, and converts
 * the used standby slots into ordinary slots afterwards.
 *
 * <p>This is safe without a write of the record, because only the holder may change or fill a
 * standby slot. Therefore the last record that this process has read or written lists its own
 * standby slots correctly. While a write of this process is unresolved, only artifacts that both
 * the old and the new record allow are loaded. A standby slot holds one artifact at a time. It is
 * emptied by a confirmed unload, which is ordered only when no transmission of the load order can
 * arrive any more.
 */
final class StandbyUse {
    private static final class Use {
        private ArtifactId artifact;
        private OwnOrder load;
        private OwnOrder unload;
        private long tokensUsed;
        private Instant lateDeliveryUntil = Instant.MIN;

        private boolean isResolved(Instant now) {
            return load.isResolved(now) && !now.isBefore(lateDeliveryUntil);
        }

        private void clear() {
            artifact = null;
            load = null;
            unload = null;
        }
    }

    private final CapacitySettings settings;
    private final GroupView view;
    private final RecordWriter writer;
    private final OrderTracker tracker;
    private final Supplier<OperationId> operations;
    private final Map<FencingToken, Use> uses = new HashMap<>();

    StandbyUse(
            CapacitySettings settings,
            GroupView view,
            RecordWriter writer,
            OrderTracker tracker,
            Supplier<OperationId> operations) {
        this.settings = settings;
        this.view = view;
        this.writer = writer;
        this.tracker = tracker;
        this.operations = operations;
    }

    /** Tells whether this process has ordered the load of an artifact into a standby slot. */
    boolean isUsing(StandbySlot standby) {
        return occupant(standby).isPresent();
    }

    Optional<ArtifactId> occupant(StandbySlot standby) {
        return Optional.ofNullable(uses.get(standby.fence())).map(use -> use.artifact);
    }

    /** Tells whether the artifact in a standby slot is loaded. */
    boolean isReady(StandbySlot standby) {
        Use use = uses.get(standby.fence());
        return use != null
                && use.load != null
                && use.unload == null
                && use.load.outcome == OrderOutcome.DONE;
    }

    boolean needs(OwnOrder own) {
        return uses.values().stream().anyMatch(use -> use.load == own || use.unload == own);
    }

    /** Removes the uses of standby slots that are no longer in the record. */
    void observe(CapacityRecord record) {
        Set<FencingToken> present =
                record.standbySlots().stream().map(StandbySlot::fence).collect(Collectors.toSet());
        uses.keySet().retainAll(present);
    }

    /** Loads artifacts in demand into standby slots. Called while the object API is down. */
    void fill(Instant now) {
        for (StandbySlot standby : writer.record().standbySlots()) {
            if (standby.holder().equals(settings.process())) {
                List<ArtifactId> usable = usableArtifacts(standby);
                Use use = uses.computeIfAbsent(standby.fence(), f -> new Use());
                continueUse(use, standby, usable, now);
            }
        }
    }

    private List<ArtifactId> usableArtifacts(StandbySlot standby) {
        if (writer.pending().isEmpty()) {
            return standby.artifacts();
        }
        return writer.pending().get().record().standbySlots().stream()
                .filter(other -> other.fence().equals(standby.fence()))
                .flatMap(other -> other.artifacts().stream())
                .filter(standby.artifacts()::contains)
                .toList();
    }

    private void continueUse(Use use, StandbySlot standby, List<ArtifactId> usable, Instant now) {
        Optional<ArtifactId> mostUrgent = mostUrgent(usable);
        if (use.artifact == null) {
            mostUrgent.filter(a -> isEmpty(standby, a)).ifPresent(a -> load(use, standby, a));
        } else if (use.unload != null) {
            continueUnload(use, standby);
        } else if (use.load.hasAnswer()) {
            continueLoaded(use, standby, mostUrgent, now);
        }
    }

    private void continueUnload(Use use, StandbySlot standby) {
        if (!use.unload.hasAnswer()) {
            return;
        }
        if (use.unload.outcome == OrderOutcome.DONE) {
            use.clear();
        } else if (use.unload.outcome == OrderOutcome.REFUSED_OLD_FENCE) {
            unload(use, standby);
        }
    }

    private void continueLoaded(
            Use use, StandbySlot standby, Optional<ArtifactId> mostUrgent, Instant now) {
        boolean failed = use.load.outcome != OrderOutcome.DONE;
        boolean demanded = view.demand(use.artifact).waiting() > 0;
        if (failed && demanded) {
            if (!now.isBefore(use.load.nextSend)) {
                use.lateDeliveryUntil = later(use.lateDeliveryUntil, use.load.lateDeliveryUntil);
                load(use, standby, use.artifact);
            }
            return;
        }
        boolean otherRequested = mostUrgent.isPresent() && !mostUrgent.get().equals(use.artifact);
        boolean idle =
                view.demand(use.artifact).isIdle()
                        && view.freshReport(standby.server(), now)
                                .filter(report -> !report.inProgress().contains(use.artifact))
                                .isPresent();
        if (otherRequested && idle && use.isResolved(now)) {
            unload(use, standby);
        }
    }

    private Optional<ArtifactId> mostUrgent(List<ArtifactId> usable) {
        return usable.stream()
                .filter(artifact -> view.demand(artifact).waiting() > 0)
                .filter(artifact -> view.effectiveLimit(artifact).isPresent())
                .filter(
                        artifact ->
                                writer.record().slotsOf(artifact).stream()
                                        .noneMatch(slot -> slot.state().isLoadingOrReady()))
                .min(Comparator.comparing(artifact -> view.demand(artifact).earliestDeadline()));
    }

    /**
     * Tells whether the memory of the standby slot is free: apart from {@code toLoad}, the server
     * reports only artifacts that have a slot of their own.
     */
    private boolean isEmpty(StandbySlot standby, ArtifactId toLoad) {
        return view.report(standby.server())
                .filter(
                        report ->
                                Stream.concat(
                                                report.loaded().keySet().stream(),
                                                report.loading().keySet().stream())
                                        .filter(artifact -> !artifact.equals(toLoad))
                                        .allMatch(
                                                artifact ->
                                                        writer.record()
                                                                .slot(artifact, standby.server())
                                                                .isPresent()))
                .isPresent();
    }

    private void load(Use use, StandbySlot standby, ArtifactId artifact) {
        ArtifactLimit limit = view.effectiveLimit(artifact).orElseThrow().limit();
        if (limit.memoryBytes() > standby.memoryBytes() || !hasTokenLeft(use)) {
            return;
        }
        use.artifact = artifact;
        use.load = order(use, standby, OrderKind.LOAD, limit.memoryBytes());
    }

    private void unload(Use use, StandbySlot standby) {
        if (hasTokenLeft(use)) {
            use.unload = order(use, standby, OrderKind.UNLOAD, use.load.order.memoryBytes());
        }
    }

    private static boolean hasTokenLeft(Use use) {
        return use.tokensUsed < StandbySlot.FENCING_TOKEN_RANGE - 1;
    }

    private OwnOrder order(Use use, StandbySlot standby, OrderKind kind, long memoryBytes) {
        FencingToken fence = new FencingToken(standby.fence().value() + use.tokensUsed);
        use.tokensUsed++;
        return tracker.add(
                new Order(
                        operations.get(),
                        kind,
                        standby.server(),
                        use.artifact,
                        Optional.empty(),
                        memoryBytes,
                        fence),
                true);
    }

    /**
     * Records the use of standby slots. Converts those whose use is already recorded into ordinary
     * slots.
     */
    void convert(Draft draft) {
        for (StandbySlot standby : draft.record().standbySlots()) {
            Use use = uses.get(standby.fence());
            boolean own = standby.holder().equals(draft.process());
            if (own && use != null && use.artifact != null) {
                if (standby.inUse().equals(Optional.of(use.artifact))) {
                    convertToSlot(draft, standby, use);
                } else {
                    draft.setRecord(
                            draft.record()
                                    .withChangedStandby(
                                            standby, standby.withInUse(Optional.of(use.artifact))));
                }
            }
        }
    }

    private void convertToSlot(Draft draft, StandbySlot standby, Use use) {
        CapacityRecord without = draft.record().withoutStandby(standby);
        Optional<Slot> present = without.slot(use.artifact, standby.server());
        List<OpenOrder> open = openOrders(draft, use);
        if (present.isPresent()) {
            Slot joined = present.get();
            for (OpenOrder order : open) {
                if (order.kind() == OrderKind.LOAD) {
                    joined =
                            joined.withoutOrders(OrderKind.UNLOAD).withOrder(order, joined.fence());
                }
            }
            draft.setRecord(without.withChangedSlot(joined));
            return;
        }
        OwnOrder last = use.unload != null ? use.unload : use.load;
        Slot slot =
                new Slot(
                        use.artifact,
                        Optional.empty(),
                        standby.server(),
                        use.load.order.memoryBytes(),
                        state(use),
                        last.order.fence(),
                        open);
        int decided = draft.record().decidedServers(use.artifact).size();
        draft.setRecord(without.withNewSlot(slot, decided));
    }

    private static SlotState state(Use use) {
        if (use.unload != null) {
            return SlotState.UNLOADING;
        }
        return use.load.outcome == OrderOutcome.DONE ? SlotState.READY : SlotState.LOADING;
    }

    private List<OpenOrder> openOrders(Draft draft, Use use) {
        List<OpenOrder> open = new ArrayList<>();
        if (!use.isResolved(draft.now())) {
            use.load.lateDeliveryUntil = later(use.load.lateDeliveryUntil, use.lateDeliveryUntil);
            open.add(openOrder(draft, use.load));
        }
        if (use.unload != null) {
            open.add(openOrder(draft, use.unload));
        }
        return open;
    }

    private static OpenOrder openOrder(Draft draft, OwnOrder own) {
        return new OpenOrder(own.order.operation(), draft.process(), own.order.kind(), draft.now());
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }
}
