package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/** What a capacity planner is told. */
public sealed interface CapacityEvent {
    /**
     * The record was read, after {@link CapacityCommand.ReadRecord} or by a watch.
     *
     * @param record the record; empty when the object does not exist
     * @param objectVersion version of the object; 0 when it does not exist
     */
    record RecordRead(Optional<CapacityRecord> record, long objectVersion)
            implements CapacityEvent {}

    /** A read asked for by {@link CapacityCommand.ReadRecord} brought no answer. */
    record RecordReadFailed() implements CapacityEvent {}

    /**
     * A write took effect.
     *
     * @param operation id of the write
     * @param newVersion version of the object after it
     */
    record WriteDone(OperationId operation, long newVersion) implements CapacityEvent {}

    /**
     * The object had another version than a write expected.
     *
     * @param operation id of the write
     */
    record WriteConflict(OperationId operation) implements CapacityEvent {}

    /**
     * A write got no answer; it may have taken effect or may do so later.
     *
     * @param operation id of the write
     */
    record WriteOutcomeUnknown(OperationId operation) implements CapacityEvent {}

    /**
     * A write certainly did not reach the object API and never will.
     *
     * @param operation id of the write
     */
    record WriteNotDone(OperationId operation) implements CapacityEvent {}

    /**
     * An entry instance reported what waits for one artifact; a report without waiting and running
     * requests ends the demand.
     *
     * @param instance the entry instance
     * @param demand its demand
     */
    record DemandReported(InstanceId instance, Demand demand) implements CapacityEvent {}

    /**
     * The servers of the group that the instance list names now. A server that is missing here and
     * present in the record has left for good. An empty list is taken as a faulty reading and
     * removes nothing.
     *
     * @param servers all present servers
     */
    record ServersListed(List<ListedServer> servers) implements CapacityEvent {
        public ServersListed {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Processes that certainly run no longer: their instance left the instance list after having
     * been in it, or a newer process answers under the same instance id.
     *
     * @param stopped all processes known to be gone; repeated lists may overlap
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
     * The weight store may be used for one load.
     *
     * @param operation the order that the turn was asked for
     * @param expiresAt when the turn ends unless the load has begun
     */
    record LoadTurnGranted(OperationId operation, Instant expiresAt) implements CapacityEvent {}

    /**
     * A request for a turn, or an unused turn, has expired; the planner asks again when it still
     * wants to load.
     *
     * @param operation the order that the turn was asked for
     */
    record LoadTurnExpired(OperationId operation) implements CapacityEvent {}

    /**
     * A newer configuration is in force.
     *
     * @param configuration the configuration
     */
    record ConfigurationChanged(Configuration configuration) implements CapacityEvent {}

    /** The object API does not answer. */
    record ObjectApiDown() implements CapacityEvent {}

    /** The object API answers again. */
    record ObjectApiUp() implements CapacityEvent {}

    /** This process now decides for the group. */
    record BecameDecider() implements CapacityEvent {}

    /** Another process decides for the group. */
    record StoppedBeingDecider() implements CapacityEvent {}

    /** Time has passed; due about every 100 ms. */
    record Tick() implements CapacityEvent {}
}
