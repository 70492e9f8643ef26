package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** What happens to the asking side of load tickets. */
public sealed interface TicketClientEvent {
    /**
     * A load needs a turn.
     *
     * @param turn the turn
     */
    record TurnNeeded(LoadTurn turn) implements TicketClientEvent {}

    /**
     * A load no longer needs its turn because it will not be made.
     *
     * @param operation the load
     */
    record TurnNoLongerNeeded(OperationId operation) implements TicketClientEvent {}

    /**
     * A load that was begun has ended, well or not.
     *
     * @param operation the load
     * @param duration how long it took
     * @param expectedDuration how long it was expected to take
     */
    record LoadEnded(OperationId operation, Duration duration, Duration expectedDuration)
            implements TicketClientEvent {}

    /**
     * A turn was granted.
     *
     * @param from the owner
     * @param operation the load
     * @param ticket the ticket it holds
     * @param sequence sequence of the latest request that the owner had seen
     */
    record GrantReceived(InstanceId from, OperationId operation, LoadTicket ticket, long sequence)
            implements TicketClientEvent {}

    /**
     * The asked instance owns no ticket in use.
     *
     * @param from the asked instance
     * @param operation the load
     * @param ticketsInUse how many tickets of the kind are in use
     */
    record RefusalReceived(InstanceId from, OperationId operation, int ticketsInUse)
            implements TicketClientEvent {}

    /**
     * An owner received a return.
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

    /** Time has passed; expected several times a second. */
    record ClientTick() implements TicketClientEvent {}
}
