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
                        closeOfGone(draft, present.get(), order);
                    }
                }
            }
        }
        if (decider) {
            draft.set(draft.record().withoutOperationsOf(view.gone()));
        }
    }

    private void closeOwn(Draft draft, Slot slot, OpenOrder open, boolean decider) {
        OwnOrder own = tracker.find(open.operation()).orElse(null);
        if (open.kind() == OrderKind.LOAD) {
            if (own == null) {
                draft.set(draft.record().withChangedSlot(slot.withoutOrder(open.operation())));
            } else {
                closeOwnLoad(draft, slot, own);
            }
        } else if (own == null) {
            draft.set(draft.record().withChangedSlot(slot.withoutOrder(open.operation())));
        } else {
            closeOwnUnload(draft, slot, own, decider);
        }
    }

    private void closeOwnLoad(Draft draft, Slot slot, OwnOrder own) {
        boolean wanted = slot.state().isWanted();
        if (!own.everSent && !wanted && !own.inFlight) {
            draft.set(draft.record().withChangedSlot(slot.withoutOrder(own.order.operation())));
            return;
        }
        if (own.isSettled(draft.now())) {
            closeLoad(draft, slot, own.order, own.outcome == OrderOutcome.DONE);
            return;
        }
        if (own.hasAnswer()) {
            if (own.outcome == OrderOutcome.DONE && slot.state() == SlotState.LOADING) {
                draft.set(draft.record().withChangedSlot(slot.withState(SlotState.READY)));
            }
            return;
        }
        if (own.outcome == OrderOutcome.UNKNOWN && !own.inFlight) {
            Instant credible = own.settledAt.plus(GroupView.REPORT_LAG);
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
        draft.set(
                draft.record()
                        .withChangedSlot(closedLoad(slot.withoutOrder(order.operation()), loaded)));
    }

    private Slot closedLoad(Slot slot, boolean loaded) {
        if (slot.state() == SlotState.LOADING) {
            return loaded ? slot.withState(SlotState.READY) : slot;
        }
        boolean unloading = !slot.state().isWanted();
        if (unloading && !view.checksFences(slot.server())) {
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
            draft.set(draft.record().withChangedSlot(slot.withoutOrder(own.order.operation())));
        } else if (view.checksFences(slot.server()) || !slot.hasOpen(OrderKind.LOAD)) {
            draft.set(draft.record().withoutSlot(slot.key()));
        } else {
            Slot unsettled = slot.withoutOrders(OrderKind.UNLOAD).withState(SlotState.UNSETTLED);
            draft.set(draft.record().withChangedSlot(unsettled));
        }
    }

    private void closeOfGone(Draft draft, Slot slot, OpenOrder order) {
        boolean settled =
                view.isGoneAndSettled(order.process(), draft.now())
                        && !draft.now().isBefore(order.writtenAt().plus(OwnOrder.SETTLE_TIME));
        if (order.kind() == OrderKind.LOAD && settled) {
            Slot without = slot.withoutOrder(order.operation());
            draft.set(draft.record().withChangedSlot(closedLoad(without, false)));
        } else if (order.kind() == OrderKind.UNLOAD && view.isGone(order.process())) {
            draft.set(draft.record().withChangedSlot(slot.withoutOrder(order.operation())));
        }
    }
}
