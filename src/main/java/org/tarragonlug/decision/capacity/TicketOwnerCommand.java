package org.tarragonlug.decision.capacity;

import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** A message that the owner of load tickets sends. */
public sealed interface TicketOwnerCommand {
    /** Returns the instance that receives the message. */
    InstanceId to();

    /**
     * Grants the turn.
     *
     * @param to the requesting instance
     * @param operation the load
     * @param ticket the ticket granted to the load
     * @param hold maximum duration of the load, counted from the arrival of this message
     * @param sequence sequence of the latest request that the owner has received
     */
    record SendGrant(
            InstanceId to, OperationId operation, LoadTicket ticket, Duration hold, long sequence)
            implements TicketOwnerCommand {}

    /**
     * Refuses the request, because this instance owns no ticket in use according to its own view.
     *
     * @param to the requesting instance
     * @param operation the load
     * @param ticketsInUse number of tickets of the kind in use
     */
    record SendRefusal(InstanceId to, OperationId operation, int ticketsInUse)
            implements TicketOwnerCommand {}

    /**
     * Confirms the receipt of a return.
     *
     * @param to the instance that returned the turn
     * @param operation the load
     * @param sequence sequence of the return
     */
    record SendReturnReceived(InstanceId to, OperationId operation, long sequence)
            implements TicketOwnerCommand {}
}
