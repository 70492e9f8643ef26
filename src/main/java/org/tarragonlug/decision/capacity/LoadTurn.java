package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.id.OperationId;

/**
 * A requested turn at the weight store: the permission to run one load.
 *
 * @param operation id of the load; repeated requests for the same load carry the same id
 * @param kind the kind of artifact to load
 * @param deadline earliest deadline of the waiting requests; the turn with the earliest deadline is
 *     granted first
 * @param prewarming whether no request waits for the artifact; such turns are granted last
 * @param hold maximum duration of the load; a longer load is aborted or counted as failed
 */
public record LoadTurn(
        OperationId operation,
        TicketKind kind,
        Instant deadline,
        boolean prewarming,
        Duration hold) {}
