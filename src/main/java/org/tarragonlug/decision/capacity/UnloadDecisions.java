package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.ArtifactId;

/** Decides which idle slots are unloaded although no memory is wanted. */
final class UnloadDecisions {
    /** A load that nobody wants is given up only after demand has been absent for this long. */
    private static final Duration ABANDON_AFTER = Duration.ofSeconds(5);

    /** A replica without requests for this long is unloaded if another one is ready. */
    private static final Duration SURPLUS_AFTER = Duration.ofSeconds(60);

    private final GroupView view;
    private final OrderTracker tracker;
    private final IdleSlots idleSlots;
    private final ReplicaDecisions replicas;

    UnloadDecisions(
            GroupView view, OrderTracker tracker, IdleSlots idleSlots, ReplicaDecisions replicas) {
        this.view = view;
        this.tracker = tracker;
        this.idleSlots = idleSlots;
        this.replicas = replicas;
    }

    void apply(Draft draft) {
        for (Slot slot : draft.record().slots()) {
            boolean unload =
                    switch (slot.state()) {
                        case READY -> isDispensable(draft, slot);
                        case LOADING -> isAbandoned(draft, slot);
                        case UNLOADING, UNSETTLED -> false;
                    };
            if (unload) {
                draft.orderUnload(slot);
            }
        }
    }

    private boolean isDispensable(Draft draft, Slot slot) {
        CapacityRecord record = draft.record();
        ArtifactId artifact = slot.artifact();
        if (view.isLeaving(slot.server())) {
            return idleSlots.isUnused(slot, record, draft.now());
        }
        if (isSurplus(draft, slot)) {
            return true;
        }
        if (!idleSlots.isIdle(slot, record, draft.now())) {
            return false;
        }
        int maximum = view.effectiveLimit(artifact).map(a -> a.limit().maximumReplicas()).orElse(0);
        boolean excess = view.index(record).decidedServers(artifact).size() > maximum;
        boolean spare = idleSlots.spareReplicas(artifact, record) > 0;
        return excess || spare && idleSlots.hasExpired(slot, draft.now());
    }

    /** Tells whether other replicas do all the work of an artifact that is in use. */
    private boolean isSurplus(Draft draft, Slot slot) {
        Instant busy = view.lastBusy(slot.key(), draft.now());
        if (busy.plus(SURPLUS_AFTER).isAfter(draft.now())) {
            return false;
        }
        long ready =
                view.index(draft.record()).slotsOf(slot.artifact()).stream()
                        .filter(other -> other.state() == SlotState.READY)
                        .filter(other -> !view.isLeaving(other.server()))
                        .filter(other -> view.isResponding(other.server(), draft.now()))
                        .count();
        return ready > 1
                && view.demand(slot.artifact()).waiting() == 0
                && idleSlots.spareReplicas(slot.artifact(), draft.record()) > 0
                && idleSlots.isUnused(slot, draft.record(), draft.now());
    }

    /** Tells whether no load order of the slot is on its way, or may still be sent by others. */
    private boolean isWithdrawable(Draft draft, Slot slot) {
        boolean unsent =
                slot.openOrders().stream()
                        .flatMap(order -> tracker.find(order.operation()).stream())
                        .allMatch(own -> !own.everSent);
        boolean others =
                slot.openOrders().stream()
                        .anyMatch(order -> !order.process().equals(draft.process()));
        return unsent && !others || draft.hasNoActiveOrder(slot, OrderKind.LOAD, view);
    }

    private boolean isAbandoned(Draft draft, Slot slot) {
        boolean leaving = view.isLeaving(slot.server());
        boolean recent =
                view.lastUsed(slot.artifact(), draft.now())
                        .plus(ABANDON_AFTER)
                        .isAfter(draft.now());
        boolean unwanted = !recent && !replicas.shouldLoad(slot, draft.record());
        return (leaving || unwanted)
                && isWithdrawable(draft, slot)
                && !view.index(draft.record()).isBaseOfAdapters(slot);
    }
}
