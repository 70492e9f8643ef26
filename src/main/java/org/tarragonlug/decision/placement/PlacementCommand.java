package org.tarragonlug.decision.placement;

import java.time.Instant;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** A command that the planner outputs for its driver to execute. */
public sealed interface PlacementCommand {
    /**
     * Sends an order to a server.
     *
     * @param server the server
     * @param startedMillis start time of the server process that the order is meant for, in Unix
     *     milliseconds
     * @param address address of the server, {@code host:port}
     * @param order the order
     * @param reason reason for the order, written to the log
     */
    record GiveOrder(
            ServerId server, long startedMillis, String address, PlannedOrder order, String reason)
            implements PlacementCommand {}

    /** Requests a report of a server's state. */
    record RequestReport(ServerId server, long startedMillis, String address)
            implements PlacementCommand {}

    /**
     * Announces a changed replica to the instances before a listing shows the change.
     *
     * @param server the server
     * @param key the model, or the model and adapter
     * @param held whether the server holds the replica; false from the moment when the order to
     *     unload the replica is given
     */
    record AnnounceReplica(ServerId server, ModelKey key, boolean held)
            implements PlacementCommand {}

    /** Announces to the instances when a model that requests wait for is expected to be ready. */
    record AnnounceExpectation(ServiceName service, ModelKey key, Instant ready)
            implements PlacementCommand {}
}
