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
 * Collects the changes of the next write, with the orders to send after the write has taken effect.
 *
 * <p>All orders of a draft carry the same fencing token: the revision of the record plus one. The
 * token ranges of new standby slots follow this token, and the new revision is above all of them.
 */
final class Draft {
    /**
     * The decider repeats an order of another process if the order has not been closed for this
     * long.
     */
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

    /**
     * Reserves a range of fencing tokens for a standby slot and returns the first token of the
     * range.
     */
    FencingToken newFencingTokenRange() {
        FencingToken first = new FencingToken(newRevision() + 1);
        fencingTokenRanges++;
        return first;
    }

    /** Adds a slot for a new replica and the order to load it. */
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

    /**
     * Adds a load order for an existing slot. Open unload orders are removed from the slot, because
     * their confirmation no longer proves that the artifact is unloaded.
     */
    void orderLoad(Slot slot) {
        Slot loading = slot.withoutOrders(OrderKind.UNLOAD).withState(SlotState.LOADING);
        addOrder(loading, OrderKind.LOAD);
    }

    /** Adds an unload order for an existing slot. */
    void orderUnload(Slot slot) {
        addOrder(slot.withState(SlotState.UNLOADING), OrderKind.UNLOAD);
    }

    /**
     * Tells whether no process is expected to be executing an order of this kind for the slot: no
     * such order is open for this process, or for a running process that wrote it recently.
     */
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
                        slot.withOrder(
                                new OpenOrder(operation, process, kind, now), fencingToken()));
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
