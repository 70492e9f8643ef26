package org.tarragonlug.decision.capacity;

import java.util.List;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** What happens to the owner of load tickets. */
public sealed interface TicketOwnerEvent {
    /**
     * An instance asks for a turn, for the first time or again.
     *
     * @param from the asking instance
     * @param turn what it wants
     * @param sequence grows with each request for the same load
     */
    record TurnRequested(InstanceId from, LoadTurn turn, long sequence)
            implements TicketOwnerEvent {}

    /**
     * An instance no longer needs a turn, granted or not.
     *
     * @param from the asking instance
     * @param operation the load
     * @param sequence requests up to this one are withdrawn
     */
    record TurnReturned(InstanceId from, OperationId operation, long sequence)
            implements TicketOwnerEvent {}

    /**
     * A load took more than twice the usual time.
     *
     * @param kind what was loaded
     */
    record LoadWasSlow(TicketKind kind) implements TicketOwnerEvent {}

    /**
     * The live view changed.
     *
     * @param live all live instances, this one included
     */
    record OwnerViewChanged(List<InstanceId> live) implements TicketOwnerEvent {
        public OwnerViewChanged {
            live = List.copyOf(live);
        }
    }

    /** Time has passed; expected several times a second. */
    record OwnerTick() implements TicketOwnerEvent {}
}
