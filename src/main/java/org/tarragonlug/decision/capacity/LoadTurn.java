package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.OperationId;

/**
 * A wanted turn at the weight store.
 *
 * @param operation identifies the load; a repeated request for the same load keeps it
 * @param kind what is loaded
 * @param deadline when the waiting requests need it; the nearest goes first
 * @param prewarming whether no request waits for it; such turns go last
 * @param hold longest time the load may take; it is aborted or counted as failed after that
 */
public record LoadTurn(
        OperationId operation,
        TicketKind kind,
        Instant deadline,
        boolean prewarming,
        Duration hold) {}
