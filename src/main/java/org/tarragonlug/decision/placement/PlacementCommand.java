package org.tarragonlug.decision.placement;

import java.time.Instant;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** What the planner wants to be done. */
public sealed interface PlacementCommand {
    /**
     * Give an order to a server.
     *
     * @param server the server
     * @param startedMillis the start of the server that the order is meant for
     * @param address its address
     * @param order the order
     * @param reason why, for the log
     */
    record GiveOrder(
            ServerId server, long startedMillis, String address, PlannedOrder order, String reason)
            implements PlacementCommand {}

    /** Ask a server for its state. */
    record RequestReport(ServerId server, long startedMillis, String address)
            implements PlacementCommand {}

    /**
     * Tell the instances what a server holds before the listing shows it.
     *
     * @param server the server
     * @param key the model
     * @param held whether the server holds it; false from the moment of the order to drop it
     */
    record AnnounceReplica(ServerId server, ModelKey key, boolean held)
            implements PlacementCommand {}

    /** Tell the instances when a model that they wait for is expected. */
    record AnnounceExpectation(ServiceName service, ModelKey key, Instant ready)
            implements PlacementCommand {}
}
