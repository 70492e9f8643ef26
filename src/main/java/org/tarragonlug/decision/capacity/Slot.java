package org.tarragonlug.decision.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/**
 * A decided replica, bound to one server for its whole life.
 *
 * @param artifact the model or adapter
 * @param baseModel the model an adapter applies to; empty for a model
 * @param server the server
 * @param memoryBytes memory reserved on the server, bytes
 * @param state progress of the replica
 * @param fence fencing number of the latest order
 * @param openOrders orders that may still reach the engine
 */
public record Slot(
        ArtifactId artifact,
        Optional<ArtifactId> baseModel,
        ServerId server,
        long memoryBytes,
        SlotState state,
        FencingToken fence,
        List<OpenOrder> openOrders) {
    public Slot {
        openOrders = List.copyOf(openOrders);
    }

    /** Identifies a slot within the record. */
    public record Key(ArtifactId artifact, ServerId server) {}

    /** Returns the key of this slot. */
    public Key key() {
        return new Key(artifact, server);
    }

    /** Returns a copy in another state. */
    public Slot withState(SlotState changed) {
        return new Slot(artifact, baseModel, server, memoryBytes, changed, fence, openOrders);
    }

    /** Returns a copy with one more open order, decided at the given fence. */
    public Slot withOrder(OpenOrder order, FencingToken decidedAt) {
        List<OpenOrder> orders = new ArrayList<>(openOrders);
        orders.add(order);
        return new Slot(artifact, baseModel, server, memoryBytes, state, decidedAt, orders);
    }

    /** Returns a copy without one order. */
    public Slot withoutOrder(OperationId operation) {
        return withOrders(
                openOrders.stream().filter(o -> !o.operation().equals(operation)).toList());
    }

    /** Returns a copy without the open orders of one kind. */
    public Slot withoutOrders(OrderKind kind) {
        return withOrders(openOrders.stream().filter(o -> o.kind() != kind).toList());
    }

    /** Finds an open order. */
    public Optional<OpenOrder> order(OperationId operation) {
        return openOrders.stream().filter(o -> o.operation().equals(operation)).findFirst();
    }

    /** Tells whether an order of this kind is open. */
    public boolean hasOpen(OrderKind kind) {
        return openOrders.stream().anyMatch(o -> o.kind() == kind);
    }

    private Slot withOrders(List<OpenOrder> orders) {
        return new Slot(artifact, baseModel, server, memoryBytes, state, fence, orders);
    }
}
