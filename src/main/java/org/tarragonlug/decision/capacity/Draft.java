package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;

/**
 * The changes of one write in the making, with the orders to send once it has taken effect.
 *
 * <p>All orders of a draft carry one fencing number, the one after the record's revision; ranges
 * for standby slots follow it, and the new revision lies above all of them.
 */
final class Draft {
    /** An order of another process without an end for this long is repeated by the decider. */
    private static final Duration REPEAT_AFTER = Duration.ofSeconds(10);

    private final ProcessId process;
    private final Supplier<OperationId> operations;
    private final CapacityRecord before;
    private final Instant now;
    private final List<Order> orders = new ArrayList<>();
    private CapacityRecord record;
    private int fencingTokenRanges;

    Draft(CapacityRecord before, ProcessId process, Supplier<OperationId> operations, Instant now) {
        this.before = before;
        this.record = before;
        this.process = process;
        this.operations = operations;
        this.now = now;
    }

    CapacityRecord record() {
        return record;
    }

    void setRecord(CapacityRecord changed) {
        record = changed;
    }

    Instant now() {
        return now;
    }

    ProcessId process() {
        return process;
    }

    List<Order> orders() {
        return orders;
    }

    boolean isChanged() {
        return !record.equals(before);
    }

    long newRevision() {
        return before.revision() + 1 + fencingTokenRanges * StandbySlot.FENCING_TOKEN_RANGE;
    }

    /** Returns the first number of a new range for a standby slot. */
    FencingToken newFencingTokenRange() {
        FencingToken first = new FencingToken(newRevision() + 1);
        fencingTokenRanges++;
        return first;
    }

    /** Decides a new replica and its load. */
    void addReplica(ArtifactLimit limit, ServerId server) {
        Slot slot =
                new Slot(
                        limit.artifact(),
                        limit.baseModel(),
                        server,
                        limit.memoryBytes(),
                        SlotState.LOADING,
                        fencingToken(),
                        List.of());
        record = record.withNewSlot(slot, limit.maximumReplicas());
        orderLoad(slot);
    }

    /** Opens a load order for a present slot. Open unload orders prove nothing any more. */
    void orderLoad(Slot slot) {
        Slot loading = slot.withoutOrders(OrderKind.UNLOAD).withState(SlotState.LOADING);
        addOrder(loading, OrderKind.LOAD);
    }

    /** Opens an unload order for a present slot. */
    void orderUnload(Slot slot) {
        addOrder(slot.withState(SlotState.UNLOADING), OrderKind.UNLOAD);
    }

    /** Tells whether nobody is known to be carrying out the slot's order of this kind. */
    boolean hasNoActiveOrder(Slot slot, OrderKind kind, GroupView view) {
        return slot.openOrders().stream()
                .filter(order -> order.kind() == kind)
                .noneMatch(
                        order ->
                                order.process().equals(process)
                                        || !view.isStopped(order.process())
                                                && order.writtenAt()
                                                        .plus(REPEAT_AFTER)
                                                        .isAfter(now));
    }

    private void addOrder(Slot slot, OrderKind kind) {
        OperationId operation = operations.get();
        record =
                record.withChangedSlot(
                        slot.withOrder(new OpenOrder(operation, process, kind, now), fencingToken()));
        orders.add(
                new Order(
                        operation,
                        kind,
                        slot.server(),
                        slot.artifact(),
                        slot.baseModel(),
                        slot.memoryBytes(),
                        fencingToken()));
    }

    private FencingToken fencingToken() {
        return new FencingToken(before.revision() + 1);
    }
}
