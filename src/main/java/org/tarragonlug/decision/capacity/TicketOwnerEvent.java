package org.tarragonlug.decision.capacity;

import java.util.List;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** An input of the owner of load tickets. */
public sealed interface TicketOwnerEvent {
    /**
     * An instance requests a turn, for the first time or repeatedly.
     *
     * @param from the requesting instance
     * @param turn the requested turn
     * @param sequence increases with each request for the same load
     */
    record TurnRequested(InstanceId from, LoadTurn turn, long sequence)
            implements TicketOwnerEvent {}

    /**
     * An instance no longer needs a turn, granted or not.
     *
     * @param from the requesting instance
     * @param operation the load
     * @param sequence requests with a sequence up to this one are withdrawn
     */
    record TurnReturned(InstanceId from, OperationId operation, long sequence)
            implements TicketOwnerEvent {}

    /**
     * A load took more than twice its expected time.
     *
     * @param kind the kind of the loaded artifact
     */
    record LoadWasSlow(TicketKind kind) implements TicketOwnerEvent {}

    /**
     * The live view changed.
     *
     * @param live all live instances, including this one
     */
    record OwnerViewChanged(List<InstanceId> live) implements TicketOwnerEvent {
        public OwnerViewChanged {
            live = List.copyOf(live);
        }
    }

    /** Time has passed. Expected several times per second. */
    record OwnerTick() implements TicketOwnerEvent {}
}
