package org.tarragonlug.decision.ownership;

import java.time.Instant;
import java.util.Optional;

/** What the lease keeper reacts to. */
public sealed interface LeaseEvent {
    /** The stored lease was read; empty if there is none. */
    record Read(Optional<LeaseRecord> stored) implements LeaseEvent {}

    /**
     * A conditional write took effect.
     *
     * @param stored the lease as stored
     * @param startedAt when the write was begun
     */
    record Written(LeaseRecord stored, Instant startedAt) implements LeaseEvent {}

    /** A conditional write met a newer record; empty if it was deleted. */
    record Conflicted(Optional<LeaseRecord> stored) implements LeaseEvent {}

    /** A call had no answer or an error; a write may have taken effect. */
    record CallFailed() implements LeaseEvent {}

    /**
     * The holder has answered this instance.
     *
     * @param holding whether it may give orders
     * @param revision revision of its last successful renewal
     */
    record HolderResponded(boolean holding, long revision) implements LeaseEvent {}

    /** The process was paused: no time measured before counts any more. */
    record Paused() implements LeaseEvent {}

    /** The process stops. */
    record Stopping() implements LeaseEvent {}

    /** Time has passed. */
    record Tick() implements LeaseEvent {}
}
