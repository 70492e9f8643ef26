package org.tarragonlug.decision.capacity;

import java.time.Instant;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/**
 * An order that may still reach the engine.
 *
 * @param operation id of the order
 * @param process the process that sends it
 * @param kind load or unload
 * @param writtenAt when the record was written, by the clock of the process
 */
public record OpenOrder(
        OperationId operation, ProcessId process, OrderKind kind, Instant writtenAt) {}
