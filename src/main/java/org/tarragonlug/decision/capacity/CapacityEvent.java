package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/** An input of a capacity planner. */
public sealed interface CapacityEvent {
    /**
     * The record was read, either for {@link CapacityCommand.ReadRecord} or by a watch.
     *
     * @param record the record; empty if the object does not exist
     * @param objectVersion version of the object; 0 if it does not exist
     */
    record RecordRead(Optional<CapacityRecord> record, long objectVersion)
            implements CapacityEvent {}

    /** A read requested by {@link CapacityCommand.ReadRecord} got no answer. */
    record RecordReadFailed() implements CapacityEvent {}

    /**
     * A write took effect.
     *
     * @param operation id of the write
     * @param newVersion version of the object after the write
     */
    record WriteDone(OperationId operation, long newVersion) implements CapacityEvent {}

    /**
     * A write did not take effect because the object did not have the expected version.
     *
     * @param operation id of the write
     */
    record WriteConflict(OperationId operation) implements CapacityEvent {}

    /**
     * A write got no answer. It may have taken effect or may still do so later.
     *
     * @param operation id of the write
     */
    record WriteOutcomeUnknown(OperationId operation) implements CapacityEvent {}

    /**
     * A write did not reach the object API and can no longer reach it.
     *
     * @param operation id of the write
     */
    record WriteNotDone(OperationId operation) implements CapacityEvent {}

    /**
     * An entry instance reported its demand for one artifact. A report without waiting and running
     * requests ends the demand.
     *
     * @param instance the entry instance
     * @param demand the demand at this instance
     */
    record DemandReported(InstanceId instance, Demand demand) implements CapacityEvent {}

    /**
     * The servers of the group that the instance list currently names. A server that is in the
     * record but not in this list has left permanently. The planner ignores an empty list, because
     * it assumes that the reading was faulty.
     *
     * @param servers all servers of the group in the instance list
     */
    record ServersListed(List<ListedServer> servers) implements CapacityEvent {
        public ServersListed {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Processes that have certainly stopped: their instance was in the instance list and has left
     * it, or a newer process answers under the same instance id.
     *
     * @param stopped all processes known to have stopped; successive events may name the same
     *     process again
     */
    record ProcessesStopped(Set<ProcessId> stopped) implements CapacityEvent {
        public ProcessesStopped {
            stopped = Set.copyOf(stopped);
        }
    }

    /**
     * A model engine reported its state.
     *
     * @param report the report
     */
    record ServerReported(ServerReport report) implements CapacityEvent {}

    /**
     * An order sent by {@link CapacityCommand.SendOrder} ended. Exactly one such event follows each
     * command.
     *
     * @param operation id of the order
     * @param outcome how it ended
     */
    record OrderEnded(OperationId operation, OrderOutcome outcome) implements CapacityEvent {}

    /**
     * A turn was granted: the weight store may be used for one load.
     *
     * @param operation id of the order for which the turn was requested
     * @param expiresAt when the turn ends if the load has not begun by then
     */
    record LoadTurnGranted(OperationId operation, Instant expiresAt) implements CapacityEvent {}

    /**
     * A request for a turn, or an unused turn, has expired. The planner requests another turn if
     * the load is still needed.
     *
     * @param operation id of the order for which the turn was requested
     */
    record LoadTurnExpired(OperationId operation) implements CapacityEvent {}

    /**
     * A newer configuration was installed.
     *
     * @param configuration the configuration
     */
    record ConfigurationChanged(Configuration configuration) implements CapacityEvent {}

    /** The object API stopped answering. */
    record ObjectApiDown() implements CapacityEvent {}

    /** The object API answers again. */
    record ObjectApiUp() implements CapacityEvent {}

    /** This process became the decider of the group. */
    record BecameDecider() implements CapacityEvent {}

    /** This process is no longer the decider of the group. */
    record StoppedBeingDecider() implements CapacityEvent {}

    /** Time has passed. Expected about every 100 ms. */
    record Tick() implements CapacityEvent {}
}
