package org.tarragonlug.decision.capacity;

import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** What the owner of load tickets sends. */
public sealed interface TicketOwnerCommand {
    /** Returns the instance to send it to. */
    InstanceId to();

    /**
     * The turn is granted.
     *
     * @param to the asking instance
     * @param operation the load
     * @param ticket the ticket it holds
     * @param hold longest time the load may take, counted from arrival of this message
     * @param sequence sequence of the latest request that the owner has seen
     */
    record SendGrant(
            InstanceId to, OperationId operation, LoadTicket ticket, Duration hold, long sequence)
            implements TicketOwnerCommand {}

    /**
     * This instance owns no ticket in use, according to its own view.
     *
     * @param to the asking instance
     * @param operation the load
     * @param ticketsInUse how many tickets of the kind are in use
     */
    record SendRefusal(InstanceId to, OperationId operation, int ticketsInUse)
            implements TicketOwnerCommand {}

    /**
     * The return was received.
     *
     * @param to the instance that returned the turn
     * @param operation the load
     * @param sequence sequence of the return
     */
    record SendReturnReceived(InstanceId to, OperationId operation, long sequence)
            implements TicketOwnerCommand {}
}
