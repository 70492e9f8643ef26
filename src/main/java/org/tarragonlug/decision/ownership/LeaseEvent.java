package org.tarragonlug.decision.ownership;

import java.time.Instant;
import java.util.Optional;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** An input event of the lease manager. */
public sealed interface LeaseEvent {
    /** The stored lease was read; empty if no lease is stored. */
    record Read(Optional<LeaseRecord> stored) implements LeaseEvent {}

    /**
     * A conditional write took effect.
     *
     * @param stored the lease as stored
     * @param startedAt time at which the write was started
     */
    record Written(LeaseRecord stored, Instant startedAt) implements LeaseEvent {}

    /** A conditional write failed because the record had changed; empty if it was deleted. */
    record Conflicted(Optional<LeaseRecord> stored) implements LeaseEvent {}

    /** A call failed or timed out; if the call was a write, it may still take effect. */
    record CallFailed() implements LeaseEvent {}

    /**
     * The holder told this instance, directly or through a peer, whether it still holds the lease.
     *
     * @param holding whether the holder still holds the lease
     * @param renewedAt position in the store of the holder's last successful renewal
     */
    record HolderResponded(boolean holding, StorePosition renewedAt) implements LeaseEvent {}

    /**
     * The store states an era for the first time, or runs from another copy than before. What was
     * read or written in another era may be lost.
     */
    record StoreEraChanged(StoreEra era) implements LeaseEvent {}

    /** The process was paused; times measured before the pause are no longer valid. */
    record Paused() implements LeaseEvent {}

    /** The process is about to stop. */
    record Stopping() implements LeaseEvent {}

    /** The periodic timer fired. */
    record Tick() implements LeaseEvent {}
}
