package org.tarragonlug.decision.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/** An input event of the planner. */
public sealed interface PlacementEvent {
    /** A configuration has come into force. */
    record TableInstalled(ForwardingTable table) implements PlacementEvent {}

    /** A server was listed, or its listing changed. */
    record ServerListed(ServerListing listing) implements PlacementEvent {}

    /** A server is no longer listed. */
    record ServerUnlisted(ServerId server) implements PlacementEvent {}

    /** An instance reported its demand. */
    record DemandReported(InstanceId from, List<ModelDemand> demands) implements PlacementEvent {
        public DemandReported {
            demands = List.copyOf(demands);
        }
    }

    /** An instance reported the servers that it cannot reach at present. */
    record ServersUnreachable(InstanceId from, Set<ServerId> servers) implements PlacementEvent {
        public ServersUnreachable {
            servers = Set.copyOf(servers);
        }
    }

    /**
     * The paces of servers that all instances together have learnt.
     *
     * @param paces how long work takes, in percent of the usual time; servers that are left out
     *     have the usual pace
     */
    record PacesLearnt(Map<ServerId, Integer> paces) implements PlacementEvent {
        public PacesLearnt {
            paces = Map.copyOf(paces);
        }
    }

    /**
     * An order was answered, or its call ended without an answer.
     *
     * @param server the server
     * @param startedMillis start time of the server process that the order was meant for
     * @param order the order as it was sent
     * @param result the outcome of this transmission of the order
     */
    record OrderAnswered(
            ServerId server, long startedMillis, PlannedOrder order, OrderResult result)
            implements PlacementEvent {}

    /** A server answered a request for a report. */
    record ReportReceived(ServerId server, long startedMillis, ServerReport report)
            implements PlacementEvent {}

    /** A server did not answer a request for a report. */
    record ReportFailed(ServerId server, long startedMillis) implements PlacementEvent {}

    /** This instance became the planner; it does not know the orders of earlier planners. */
    record PlanningBegun() implements PlacementEvent {}

    /** This instance is no longer the planner. */
    record PlanningEnded() implements PlacementEvent {}

    /** The set of servers that can receive orders changed to the given one. */
    record OrderableServersChanged(Set<ServerId> servers) implements PlacementEvent {
        public OrderableServersChanged {
            servers = Set.copyOf(servers);
        }
    }

    /** The periodic timer fired. */
    record Tick() implements PlacementEvent {}
}
