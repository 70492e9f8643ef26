package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/** What a capacity planner wants done. */
public sealed interface CapacityCommand {
    /**
     * Read the record of the group; answered by {@link CapacityEvent.RecordRead} or {@link
     * CapacityEvent.RecordReadFailed}.
     */
    record ReadRecord() implements CapacityCommand {}

    /**
     * Write the record if the object still has the expected version; answered by exactly one of
     * WriteDone, WriteConflict, WriteOutcomeUnknown and WriteNotDone.
     *
     * @param operation id of the write, also found in the record's last operations
     * @param record the new record
     * @param expectedVersion version of the object; 0 creates it
     */
    record WriteRecord(OperationId operation, CapacityRecord record, long expectedVersion)
            implements CapacityCommand {}

    /**
     * Send an order to the engine of its server; answered by {@link CapacityEvent.OrderEnded}. The
     * same order may be sent more than once.
     *
     * @param order the order
     */
    record SendOrder(Order order) implements CapacityCommand {}

    /**
     * Ask for a turn at the weight store.
     *
     * @param operation the order that needs it
     * @param artifact what is to be loaded
     * @param deadline the earliest deadline of a waiting request
     * @param prewarming whether nobody waits for the artifact yet
     */
    record RequestLoadTurn(
            OperationId operation, ArtifactId artifact, Instant deadline, boolean prewarming)
            implements CapacityCommand {}

    /**
     * Give back a turn or withdraw the request for it.
     *
     * @param operation the order that the turn was asked for
     */
    record ReturnLoadTurn(OperationId operation) implements CapacityCommand {}

    /**
     * Tell the entry instances where an artifact may be used; sent on each change.
     *
     * @param artifact the artifact
     * @param ready servers that hold it and take requests
     * @param loading whether a load is under way
     * @param expectedReadyAt when the load is expected to end; empty when none is under way
     */
    record PublishReplicas(
            ArtifactId artifact,
            List<ServerId> ready,
            boolean loading,
            Optional<Instant> expectedReadyAt)
            implements CapacityCommand {
        public PublishReplicas {
            ready = List.copyOf(ready);
        }
    }

    /**
     * The state of an artifact for the status page; sent on each change.
     *
     * @param artifact the artifact
     * @param ready replicas ready
     * @param loading replicas being loaded
     * @param lastRefusal why the last wish for a replica was not met; empty when none is open
     */
    record ReportArtifact(
            ArtifactId artifact, int ready, int loading, Optional<CapacityRefusal> lastRefusal)
            implements CapacityCommand {}
}
