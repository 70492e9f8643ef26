package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;

/**
 * Acquires, renews and releases the lease that allows one instance to give orders to the backend
 * servers of a group.
 *
 * <p>The holder renews the lease by conditional writes. It gives orders only for {@link
 * #ORDER_PERIOD} after the start of its last successful renewal, measured by its own monotonic
 * clock. Another instance takes over the lease when the holder is silent and the stored renewal has
 * not changed for {@link #TAKEOVER_AFTER}, or at once if the holder itself states that it gives no
 * more orders. The new holder gives its first order only after the platform's turn time has passed
 * since the last moment at which the previous holder may have given one. That moment is bounded:
 * the previous holder started each renewal before this instance first learned of that renewal from
 * the store or from the holder, and gives no order more than ORDER_PERIOD after the start. The
 * protocol compares no clocks of different instances. The stored fencing token grows with each
 * holder, and the store lets only one of several conditional writes succeed. Therefore no two
 * holders share a fencing token.
 *
 * <p>An instance that receives the holder's responses does not read the store. Reads cost money and
 * are needed only while the holder is silent. A paused process discards the time of its last
 * renewal, because its monotonic clock may have stopped during the pause. It must renew the lease
 * before it gives the next order.
 *
 * <p>If the store is down, the holder continues to give orders until ORDER_PERIOD ends, and no
 * other instance takes over. Loaded models stay loaded. A longer ORDER_PERIOD bridges longer
 * outages of the store, but makes the loss of a holder more costly. Dividing the servers into many
 * groups, each with its own lease, keeps that cost small.
 */
public final class LeaseManager implements StateMachine<LeaseEvent, LeaseCommand> {
    /** How long after the start of a renewal the holder may give orders. */
    static final Duration ORDER_PERIOD = Duration.ofSeconds(8);

    /** How often the holder renews the lease. */
    static final Duration RENEWAL_PERIOD = Duration.ofSeconds(2);

    /**
     * How long the stored renewal must stay unchanged before another instance takes the lease. The
     * new holder may not give orders before ORDER_PERIOD and the turn time have passed anyway. The
     * delay gives the previous holder time to restart and to continue at once.
     */
    static final Duration TAKEOVER_AFTER = Duration.ofSeconds(7);

    /** How long the holder may be silent before this instance reads the stored lease. */
    static final Duration HOLDER_SILENCE_TIMEOUT = Duration.ofMillis(1300);

    /** How often a free or missing lease is read. */
    private static final Duration READ_PERIOD = Duration.ofMillis(500);

    /** How often the lease of a silent holder is read. */
    private static final Duration HELD_READ_PERIOD = Duration.ofMillis(1500);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(400);
    private static final Duration TURN_MARGIN = Duration.ofMillis(200);

    private final InstanceId self;
    private final String process;
    private final String address;
    private final Duration turnTime;
    private LeaseRecord latestRecord;
    private Instant unchangedSince = Instant.EPOCH;
    private Instant holderRespondedAt = Instant.EPOCH;
    private Instant nextCallAt = Instant.EPOCH;
    private Instant callStartedAt;
    private boolean holding;
    private Instant renewedAt = Instant.EPOCH;

    /** When the last pause was noticed. A renewal begun before it starts no order period. */
    private Instant pausedAt = Instant.EPOCH;

    private Instant ordersFrom = Instant.MAX;

    /**
     * The previous holder gives no order more than ORDER_PERIOD after this time. If that holder
     * stopped giving orders or released the lease, this is the time at which this instance learned
     * of it, less ORDER_PERIOD. Otherwise this is the latest time at which the previous holder may
     * have started its last renewal; EPOCH if there is no previous holder to wait for.
     */
    private Instant previousRenewalBound = Instant.EPOCH;

    private boolean readAttempted;
    private Instant readAt = Instant.EPOCH;

    /** The newest revision that a holder stated, and the time at which it was first stated. */
    private long holderRevision;

    private Instant holderRevisionSince = Instant.EPOCH;

    /** Whether the holder stated that it gives no more orders, and the time of that statement. */
    private boolean holderStoppedOrdering;

    private Instant holderStoppedOrderingAt = Instant.EPOCH;

    /** How long this instance waits before it acquires a free lease. */
    private Duration acquisitionDelay = Duration.ZERO;

    /** The time since which the lease has been free; null while the lease is not free. */
    private Instant freeSince;

    private boolean stopping;

    /**
     * Creates a lease manager that has not read the stored lease yet.
     *
     * @param self id of this instance
     * @param process id of this process
     * @param address address at which peers reach this process, {@code host:port}
     * @param turnTime minimum time between the orders of two holders
     */
    public LeaseManager(InstanceId self, String process, String address, Duration turnTime) {
        this.self = self;
        this.process = process;
        this.address = address;
        this.turnTime = turnTime;
    }

    /**
     * Sets how long this instance waits before it acquires a free lease. Different delays spread
     * the leases over the instances.
     */
    public void setAcquisitionDelay(Duration delay) {
        acquisitionDelay = delay;
    }

    /** Tells whether this instance may give an order at this time. */
    public boolean mayOrder(Instant now) {
        return holding
                && !stopping
                && !now.isBefore(ordersFrom)
                && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /** Tells whether this instance holds the lease, judged by its last successful renewal. */
    public boolean holding(Instant now) {
        return holding && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /**
     * Returns the fencing token in the latest record; {@link FencingToken#NONE} if there is no
     * record.
     */
    public FencingToken fence() {
        return latestRecord == null ? FencingToken.NONE : latestRecord.fence();
    }

    /** Returns the latest lease record that was read or written; empty if none exists. */
    public Optional<LeaseRecord> latestRecord() {
        return Optional.ofNullable(latestRecord);
    }

    @Override
    public List<LeaseCommand> handle(LeaseEvent event, Instant now) {
        if (event instanceof LeaseEvent.Read read) {
            callStartedAt = null;
            return onRecordRead(read.stored(), now);
        }
        if (event instanceof LeaseEvent.Written written) {
            callStartedAt = null;
            return onWritten(written, now);
        }
        if (event instanceof LeaseEvent.Conflicted conflicted) {
            callStartedAt = null;
            return onRecordRead(conflicted.stored(), now);
        }
        if (event instanceof LeaseEvent.CallFailed) {
            callStartedAt = null;
            nextCallAt = now.plus(FAILURE_RETRY_DELAY);
            return List.of();
        }
        if (event instanceof LeaseEvent.HolderResponded response) {
            onHolderResponse(response, now);
            return List.of();
        }
        if (event instanceof LeaseEvent.Paused) {
            renewedAt = Instant.EPOCH;
            pausedAt = now;
            unchangedSince = now;
            nextCallAt = now;
            callStartedAt = null;
            return List.of();
        }
        if (event instanceof LeaseEvent.Stopping) {
            return onStopping();
        }
        return tick(now);
    }

    /**
     * Applies a statement of the holder, which is about its renewal of the stated revision. It may
     * have been overtaken by one about a later renewal, for which it says nothing: a holder that
     * had stopped may give orders again.
     */
    private void onHolderResponse(LeaseEvent.HolderResponded event, Instant now) {
        if (event.revision() < holderRevision) {
            return;
        }
        if (event.revision() > holderRevision) {
            holderRevision = event.revision();
            holderRevisionSince = now;
            holderStoppedOrdering = false;
        }
        if (event.holding()) {
            holderRespondedAt = now;
            holderStoppedOrdering = false;
        } else if (!holderStoppedOrdering) {
            holderStoppedOrdering = true;
            holderStoppedOrderingAt = now;
            holderRespondedAt = Instant.EPOCH;
            nextCallAt = now;
        }
    }

    private List<LeaseCommand> onStopping() {
        boolean wasHolding = holding;
        stopping = true;
        holding = false;
        if (!wasHolding) {
            return List.of();
        }
        LeaseRecord released =
                new LeaseRecord(
                        self,
                        process,
                        address,
                        latestRecord.fence(),
                        latestRecord.renewal() + 1,
                        latestRecord.ordering(),
                        true,
                        latestRecord.revision());
        return List.of(new LeaseCommand.Write(released), new LeaseCommand.Lost("stopping"));
    }

    private List<LeaseCommand> onRecordRead(Optional<LeaseRecord> stored, Instant now) {
        LeaseRecord previous = latestRecord;
        LeaseRecord found = stored.orElse(null);
        readAt = now;
        nextCallAt = now.plus(READ_PERIOD);
        if (found == null) {
            latestRecord = null;
            return loseLease("the lease was deleted");
        }
        boolean unchanged = previous != null && previous.revision() == found.revision();
        latestRecord = found;
        if (!unchanged) {
            freeSince = null;
            boolean fromHolder = found.revision() == holderRevision;
            unchangedSince = fromHolder ? holderRevisionSince : now;
            holderStoppedOrdering = holderStoppedOrdering && fromHolder;
        }
        if (!found.released()) {
            nextCallAt = now.plus(HELD_READ_PERIOD);
        }
        if (found.holder().equals(self)) {
            // A write of this instance took effect, but its answer was lost or an earlier process
            // started it. Only an answered renewal starts an order period, so the next tick renews.
            nextCallAt = now;
            return List.of();
        }
        return loseLease("another instance holds the lease");
    }

    private List<LeaseCommand> loseLease(String reason) {
        if (!holding) {
            return List.of();
        }
        holding = false;
        return List.of(new LeaseCommand.Lost(reason));
    }

    private List<LeaseCommand> onWritten(LeaseEvent.Written event, Instant now) {
        LeaseRecord previous = latestRecord;
        latestRecord = event.stored();
        unchangedSince = now;
        if (stopping || latestRecord.released()) {
            return List.of();
        }
        if (event.startedAt().isBefore(pausedAt)) {
            // The pause may have been longer than the order period, so the lease is renewed again.
            nextCallAt = now;
            return List.of();
        }
        renewedAt = event.startedAt();
        nextCallAt = event.startedAt().plus(RENEWAL_PERIOD);
        if (holding) {
            return List.of();
        }
        holding = true;
        ordersFrom = previous == null ? now : earliestOrderTime(now);
        return List.of(new LeaseCommand.Acquired(latestRecord));
    }

    /**
     * Returns the earliest time at which an order cannot fall into the turn of a previous holder.
     */
    private Instant earliestOrderTime(Instant now) {
        Instant turnStart =
                previousRenewalBound.plus(ORDER_PERIOD).plus(turnTime).plus(TURN_MARGIN);
        return turnStart.isBefore(now) ? now : turnStart;
    }

    private List<LeaseCommand> tick(Instant now) {
        if (stopping || callStartedAt != null && now.isBefore(callStartedAt.plus(CALL_TIMEOUT))) {
            return List.of();
        }
        if (now.isBefore(nextCallAt)) {
            return List.of();
        }
        if (holding) {
            return write(latestRecord.fence(), now);
        }
        if (latestRecord != null && now.isBefore(holderRespondedAt.plus(HOLDER_SILENCE_TIMEOUT))) {
            return List.of();
        }
        if (latestRecord == null) {
            return readAttempted ? acquireFreeLease(new FencingToken(1), now) : read(now);
        }
        if (latestRecord.holder().equals(self)) {
            return reacquireOwnLease(now);
        }
        if (latestRecord.released()
                || holderStoppedOrdering && latestRecord.revision() == holderRevision) {
            Instant stoppedBy = latestRecord.released() ? unchangedSince : holderStoppedOrderingAt;
            previousRenewalBound = stoppedBy.minus(ORDER_PERIOD);
            return acquireFreeLease(latestRecord.fence().next(), now);
        }
        if (now.isAfter(unchangedSince.plus(TAKEOVER_AFTER)) && readAt.isAfter(holderRespondedAt)) {
            previousRenewalBound = unchangedSince;
            return acquireFreeLease(latestRecord.fence().next(), now);
        }
        freeSince = null;
        return read(now);
    }

    /** Acquires a lease that no instance holds, once the acquisition delay has passed. */
    private List<LeaseCommand> acquireFreeLease(FencingToken fence, Instant now) {
        if (freeSince == null) {
            freeSince = now;
        }
        if (now.isBefore(freeSince.plus(acquisitionDelay))) {
            return now.isBefore(readAt.plus(READ_PERIOD)) ? List.of() : read(now);
        }
        freeSince = null;
        return write(fence, now);
    }

    /** Renews or reacquires a lease whose stored holder is this instance. */
    private List<LeaseCommand> reacquireOwnLease(Instant now) {
        if (latestRecord.process().equals(process)) {
            // The answer to a write of this process was lost. If that write acquired the lease, the
            // process must still wait for its turn, so previousRenewalBound stays unchanged.
            return write(latestRecord.fence(), now);
        }
        // An earlier process of this instance held the lease, and no other instance has held it
        // since. If the earlier process was still waiting for its turn, this process waits as well.
        previousRenewalBound = latestRecord.ordering() ? Instant.EPOCH : unchangedSince;
        return write(latestRecord.fence().next(), now);
    }

    private List<LeaseCommand> read(Instant now) {
        readAttempted = true;
        callStartedAt = now;
        nextCallAt = now.plus(READ_PERIOD);
        return List.of(new LeaseCommand.Read());
    }

    private List<LeaseCommand> write(FencingToken fence, Instant now) {
        callStartedAt = now;
        long revision = latestRecord == null ? 0 : latestRecord.revision();
        long renewal = latestRecord == null ? 1 : latestRecord.renewal() + 1;
        return List.of(
                new LeaseCommand.Write(
                        new LeaseRecord(
                                self,
                                process,
                                address,
                                fence,
                                renewal,
                                mayOrder(now),
                                false,
                                revision)));
    }
}
