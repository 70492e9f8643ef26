package org.tarragonlug.decision.placement;

import java.util.List;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/** What the planner reacts to. */
public sealed interface PlacementEvent {
    /** A configuration is in force. */
    record TableInstalled(ForwardingTable table) implements PlacementEvent {}

    /** A server is listed or its listing changed. */
    record ServerListed(ServerListing listing) implements PlacementEvent {}

    /** A server is no longer listed. */
    record ServerUnlisted(ServerId server) implements PlacementEvent {}

    /** An instance reports its demand. */
    record DemandReported(InstanceId from, List<ModelDemand> demands) implements PlacementEvent {
        public DemandReported {
            demands = List.copyOf(demands);
        }
    }

    /** A server answered an order, or did not. */
    record OrderAnswered(ServerId server, long startedMillis, OrderResult result)
            implements PlacementEvent {}

    /** A server was asked for its state. */
    record ReportReceived(ServerId server, long startedMillis, ServerReport report)
            implements PlacementEvent {}

    /** A server that was asked for its state did not answer. */
    record ReportFailed(ServerId server, long startedMillis) implements PlacementEvent {}

    /** This instance plans from now on; what others ordered is unknown. */
    record PlanningBegun() implements PlacementEvent {}

    /** Another instance plans. */
    record PlanningEnded() implements PlacementEvent {}

    /** Only these servers can be given orders at present. */
    record OrderableServersChanged(Set<ServerId> servers) implements PlacementEvent {
        public OrderableServersChanged {
            servers = Set.copyOf(servers);
        }
    }

    /** Time has passed. */
    record Tick() implements PlacementEvent {}
}
