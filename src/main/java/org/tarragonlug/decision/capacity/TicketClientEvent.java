package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** An input of the client of load tickets. */
public sealed interface TicketClientEvent {
    /**
     * A load needs a turn.
     *
     * @param turn the turn
     */
    record TurnNeeded(LoadTurn turn) implements TicketClientEvent {}

    /**
     * A load will not be run and no longer needs its turn.
     *
     * @param operation the load
     */
    record TurnNoLongerNeeded(OperationId operation) implements TicketClientEvent {}

    /**
     * A load that had begun has ended, successfully or not.
     *
     * @param operation the load
     * @param duration duration of the load
     * @param expectedDuration expected duration of the load
     */
    record LoadEnded(OperationId operation, Duration duration, Duration expectedDuration)
            implements TicketClientEvent {}

    /**
     * A turn was granted.
     *
     * @param from the owner
     * @param operation the load
     * @param ticket the ticket granted to the load
     * @param sequence sequence of the latest request that the owner had received
     */
    record GrantReceived(InstanceId from, OperationId operation, LoadTicket ticket, long sequence)
            implements TicketClientEvent {}

    /**
     * The instance that received a request owns no ticket in use.
     *
     * @param from the instance that refuses
     * @param operation the load
     * @param ticketsInUse number of tickets of the kind in use, according to that instance
     */
    record RefusalReceived(InstanceId from, OperationId operation, int ticketsInUse)
            implements TicketClientEvent {}

    /**
     * An owner confirmed the receipt of a return.
     *
     * @param from the owner
     * @param operation the load
     * @param sequence sequence of the return
     */
    record ReturnConfirmed(InstanceId from, OperationId operation, long sequence)
            implements TicketClientEvent {}

    /**
     * The live view changed.
     *
     * @param live all live instances
     */
    record ClientViewChanged(List<InstanceId> live) implements TicketClientEvent {
        public ClientViewChanged {
            live = List.copyOf(live);
        }
    }

    /** Time has passed. Expected several times per second. */
    record ClientTick() implements TicketClientEvent {}
}
