package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.Optional;

/**
 * Closes open orders in the record and moves their slots on.
 *
 * <p>An unload order that is open in a slot says that no load order of the slot was added or closed
 * since it was decided, unless the engine checks fences. Closing a load order of a slot that is
 * being unloaded therefore removes the open unload orders: the load may have been executed after
 * the unload, whose confirmation would prove nothing. A slot is removed only by the confirmation of
 * an open unload order, and where fences are ignored only without any open load order.
 */
final class OrderClosing {
    private final GroupView view;
    private final OrderTracker tracker;

    OrderClosing(GroupView view, OrderTracker tracker) {
        this.view = view;
        this.tracker = tracker;
    }

    /** Closes the orders of this process and, as the decider, those of processes that are gone. */
    void apply(Draft draft, boolean decider) {
        for (Slot slot : draft.record().slots()) {
            for (OpenOrder order : slot.openOrders()) {
                Optional<Slot> present = draft.record().slot(slot.artifact(), slot.server());
                if (present.isPresent() && present.get().openOrders().contains(order)) {
                    if (order.process().equals(draft.process())) {
                        closeOwn(draft, present.get(), order, decider);
                    } else if (decider) {
                        closeForStoppedProcess(draft, present.get(), order);
                    }
                }
            }
        }
        if (decider) {
            draft.setRecord(draft.record().withoutOperationsOf(view.stoppedProcesses()));
        }
    }

    private void closeOwn(Draft draft, Slot slot, OpenOrder open, boolean decider) {
        OwnOrder own = tracker.find(open.operation()).orElse(null);
        if (open.kind() == OrderKind.LOAD) {
            if (own == null) {
                draft.setRecord(draft.record().withChangedSlot(slot.withoutOrder(open.operation())));
            } else {
                closeOwnLoad(draft, slot, own);
            }
        } else if (own == null) {
            draft.setRecord(draft.record().withChangedSlot(slot.withoutOrder(open.operation())));
        } else {
            closeOwnUnload(draft, slot, own, decider);
        }
    }

    private void closeOwnLoad(Draft draft, Slot slot, OwnOrder own) {
        boolean wanted = slot.state().isLoadingOrReady();
        if (!own.everSent && !wanted && !own.inFlight) {
            draft.setRecord(draft.record().withChangedSlot(slot.withoutOrder(own.order.operation())));
            return;
        }
        if (own.isResolved(draft.now())) {
            closeLoad(draft, slot, own.order, own.outcome == OrderOutcome.DONE);
            return;
        }
        if (own.hasAnswer()) {
            if (own.outcome == OrderOutcome.DONE && slot.state() == SlotState.LOADING) {
                draft.setRecord(draft.record().withChangedSlot(slot.withState(SlotState.READY)));
            }
            return;
        }
        if (own.outcome == OrderOutcome.UNKNOWN && !own.inFlight) {
            Instant credible = own.lateDeliveryUntil.plus(GroupView.REPORT_LAG);
            view.report(slot.server())
                    .filter(report -> report.receivedAt().isAfter(credible))
                    .filter(report -> !report.loading().containsKey(slot.artifact()))
                    .ifPresent(
                            report ->
                                    closeLoad(
                                            draft,
                                            slot,
                                            own.order,
                                            report.loaded().containsKey(slot.artifact())));
        }
    }

    private void closeLoad(Draft draft, Slot slot, Order order, boolean loaded) {
        draft.setRecord(
                draft.record()
                        .withChangedSlot(afterClosedLoad(slot.withoutOrder(order.operation()), loaded)));
    }

    private Slot afterClosedLoad(Slot slot, boolean loaded) {
        if (slot.state() == SlotState.LOADING) {
            return loaded ? slot.withState(SlotState.READY) : slot;
        }
        boolean unloading = !slot.state().isLoadingOrReady();
        if (unloading && !view.checksFencingTokens(slot.server())) {
            return slot.withoutOrders(OrderKind.UNLOAD).withState(SlotState.UNSETTLED);
        }
        return slot;
    }

    private void closeOwnUnload(Draft draft, Slot slot, OwnOrder own, boolean decider) {
        if (!own.hasAnswer()) {
            return;
        }
        boolean confirmed = own.outcome == OrderOutcome.DONE;
        boolean repeated = decider && own.outcome != OrderOutcome.REFUSED_OLD_FENCE;
        if (!confirmed && repeated) {
            return;
        }
        if (!confirmed || slot.state() != SlotState.UNLOADING) {
            draft.setRecord(draft.record().withChangedSlot(slot.withoutOrder(own.order.operation())));
        } else if (view.checksFencingTokens(slot.server()) || !slot.hasOpen(OrderKind.LOAD)) {
            draft.setRecord(draft.record().withoutSlot(slot.key()));
        } else {
            Slot unresolved = slot.withoutOrders(OrderKind.UNLOAD).withState(SlotState.UNSETTLED);
            draft.setRecord(draft.record().withChangedSlot(unresolved));
        }
    }

    private void closeForStoppedProcess(Draft draft, Slot slot, OpenOrder order) {
        boolean noLateDelivery =
                view.isStoppedBeyondDeliveryLimit(order.process(), draft.now())
                        && !draft.now().isBefore(order.writtenAt().plus(OwnOrder.LATE_DELIVERY_LIMIT));
        if (order.kind() == OrderKind.LOAD && noLateDelivery) {
            Slot without = slot.withoutOrder(order.operation());
            draft.setRecord(draft.record().withChangedSlot(afterClosedLoad(without, false)));
        } else if (order.kind() == OrderKind.UNLOAD && view.isStopped(order.process())) {
            draft.setRecord(draft.record().withChangedSlot(slot.withoutOrder(order.operation())));
        }
    }
}
