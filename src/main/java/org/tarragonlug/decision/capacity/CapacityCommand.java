package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ServerId;

/** An output of a capacity planner, to be executed by its driver. */
public sealed interface CapacityCommand {
    /**
     * Read the record of the group. The answer is {@link CapacityEvent.RecordRead} or {@link
     * CapacityEvent.RecordReadFailed}.
     */
    record ReadRecord() implements CapacityCommand {}

    /**
     * Write the record if the object still has the expected version. Exactly one of WriteDone,
     * WriteConflict, WriteOutcomeUnknown and WriteNotDone answers each command.
     *
     * @param operation id of the write; the record contains it among its last operations
     * @param record the new record
     * @param expectedVersion version that the object must have; 0 creates the object
     */
    record WriteRecord(OperationId operation, CapacityRecord record, long expectedVersion)
            implements CapacityCommand {}

    /**
     * Send an order to the engine of its server. {@link CapacityEvent.OrderEnded} answers each
     * command. The same order may be sent more than once.
     *
     * @param order the order
     */
    record SendOrder(Order order) implements CapacityCommand {}

    /**
     * Request a turn to load from the weight store.
     *
     * @param operation id of the order that needs the turn
     * @param artifact the artifact to load
     * @param deadline the earliest deadline of a waiting request
     * @param prewarming true if no request waits for the artifact yet
     */
    record RequestLoadTurn(
            OperationId operation, ArtifactId artifact, Instant deadline, boolean prewarming)
            implements CapacityCommand {}

    /**
     * Return a turn, or withdraw the request for it.
     *
     * @param operation id of the order for which the turn was requested
     */
    record ReturnLoadTurn(OperationId operation) implements CapacityCommand {}

    /**
     * Tell the entry instances which servers may serve an artifact. Issued on each change.
     *
     * @param artifact the artifact
     * @param ready servers that have the artifact loaded and accept requests
     * @param loading whether a load is in progress
     * @param expectedReadyAt when the load is expected to finish; empty if no load is in progress
     *     or its duration cannot be estimated
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
     * Report the state of an artifact for the status page. Issued on each change.
     *
     * @param artifact the artifact
     * @param ready number of ready replicas
     * @param loading number of replicas being loaded
     * @param lastRefusal why the artifact currently gets no replica, or no further one; empty if no
     *     replica is refused
     */
    record ReportArtifact(
            ArtifactId artifact, int ready, int loading, Optional<CapacityRefusal> lastRefusal)
            implements CapacityCommand {}
}
