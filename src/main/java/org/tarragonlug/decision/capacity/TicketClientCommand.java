package org.tarragonlug.decision.capacity;

import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** What the asking side of load tickets wants done. */
public sealed interface TicketClientCommand {
    /**
     * Ask an owner for a turn.
     *
     * @param to the owner
     * @param turn the turn
     * @param sequence grows with each request for the same load
     */
    record SendTurnRequest(InstanceId to, LoadTurn turn, long sequence)
            implements TicketClientCommand {}

    /**
     * Return a turn, granted or waiting, to an owner.
     *
     * @param to the owner
     * @param operation the load
     * @param sequence requests up to this one are withdrawn
     */
    record SendTurnReturn(InstanceId to, OperationId operation, long sequence)
            implements TicketClientCommand {}

    /**
     * Tell an owner that a load was slow.
     *
     * @param to the owner
     * @param kind what was loaded
     */
    record SendLoadWasSlow(InstanceId to, TicketKind kind) implements TicketClientCommand {}

    /**
     * Begin a load; its turn has come.
     *
     * @param operation the load
     * @param ticket the ticket it holds
     * @param hold longest time the load may take
     */
    record BeginLoad(OperationId operation, LoadTicket ticket, Duration hold)
            implements TicketClientCommand {}
}
