package org.tarragonlug.decision.capacity;

import java.time.Duration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

/** An output of the client of load tickets, to be executed by its driver. */
public sealed interface TicketClientCommand {
    /**
     * Request a turn from an owner.
     *
     * @param to the owner
     * @param turn the turn
     * @param sequence increases with each request for the same load
     */
    record SendTurnRequest(InstanceId to, LoadTurn turn, long sequence)
            implements TicketClientCommand {}

    /**
     * Return a turn, granted or waiting, to an owner.
     *
     * @param to the owner
     * @param operation the load
     * @param sequence requests with a sequence up to this one are withdrawn
     */
    record SendTurnReturn(InstanceId to, OperationId operation, long sequence)
            implements TicketClientCommand {}

    /**
     * Tell an owner that a load was slow.
     *
     * @param to the owner
     * @param kind the kind of the loaded artifact
     */
    record SendLoadWasSlow(InstanceId to, TicketKind kind) implements TicketClientCommand {}

    /**
     * Begin a load whose turn was granted.
     *
     * @param operation the load
     * @param ticket the ticket granted to the load
     * @param hold maximum duration of the load
     */
    record BeginLoad(OperationId operation, LoadTicket ticket, Duration hold)
            implements TicketClientCommand {}
}
