package org.tarragonlug.decision.capacity;

import java.time.Instant;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/**
 * An order in the record that may still reach the engine.
 *
 * @param operation id of the order
 * @param process the process that sends the order
 * @param kind load or unload
 * @param writtenAt time of the write of the record that added the order, by the clock of the
 *     sending process
 */
public record OpenOrder(
        OperationId operation, ProcessId process, OrderKind kind, Instant writtenAt) {}
