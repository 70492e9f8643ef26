package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;

/**
 * Keeps the lease that allows one instance to give orders to backend servers.
 *
 * <p>The holder renews the lease by conditional writes and gives orders only for {@link
 * #ORDER_PERIOD} after the beginning of its last successful renewal, by its own monotonic clock.
 * Another instance takes the lease once the holder is silent and the stored renewal has not changed
 * for {@link #TAKEOVER_AFTER}, or at once if the holder itself says that it gives no more orders.
 * It gives its first order only when the turn-taking time of the platform has passed since the last
 * moment at which the old holder may have given one. That moment is bounded: a renewal began before
 * this instance first learned of it, from the store or from the holder, so the old holder stops at
 * most ORDER_PERIOD later. No two clocks are compared. The stored fence grows with each holder, and
 * the store lets one conditional write win, so no two holders share a fence.
 *
 * <p>An instance that hears the holder directly does not read the store; reads cost money and are
 * needed only when the holder is silent. A paused process forgets its last renewal, because its
 * monotonic clock may have stood still; it must renew before the next order.
 *
 * <p>If the store is down, the holder goes on until ORDER_PERIOD is over and nobody takes over;
 * what is loaded stays loaded. A long period bridges outages of the store and makes a lost holder
 * cost more; many groups with a lease each keep that cost small.
 */
public final class LeaseManager implements StateMachine<LeaseEvent, LeaseCommand> {
    /** How long after the beginning of a renewal orders may be given. */
    static final Duration ORDER_PERIOD = Duration.ofSeconds(8);

    /** How often the holder renews. */
    static final Duration RENEWAL_PERIOD = Duration.ofSeconds(2);

    /**
     * How long a renewal must stay the same before another instance takes the lease. Whoever takes
     * it may not order before ORDER_PERIOD and the turn are over, so there is time for the holder
     * to come back from a restart and to go on at once.
     */
    static final Duration TAKEOVER_AFTER = Duration.ofSeconds(7);

    /** How long the holder may be silent towards this instance before the lease is read. */
    static final Duration HOLDER_SILENCE_TIMEOUT = Duration.ofMillis(1300);

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
    private Instant ordersFrom = Instant.MAX;

    /** No order of an earlier holder began later than ORDER_PERIOD after this. */
    private Instant previousRenewalBound = Instant.EPOCH;

    private boolean readAttempted;
    private Instant readAt = Instant.EPOCH;

    /** The newest renewal that a holder has told, and when it was first told. */
    private long holderRevision;

    private Instant holderRevisionSince = Instant.EPOCH;

    /** Whether the holder has said that it gives no more orders, and since when. */
    private boolean holderStoppedOrdering;

    private Instant holderStoppedOrderingAt = Instant.EPOCH;

    /** How long to leave a free lease to others, and since when it has been free. */
    private Duration acquisitionDelay = Duration.ZERO;

    private Instant freeSince;
    private boolean stopping;

    /**
     * Creates a keeper that has read nothing.
     *
     * @param self this instance
     * @param process this process
     * @param address where peers reach this process
     * @param turnTime shortest time between orders of two holders
     */
    public LeaseManager(InstanceId self, String process, String address, Duration turnTime) {
        this.self = self;
        this.process = process;
        this.address = address;
        this.turnTime = turnTime;
    }

    /**
     * Sets how long this instance leaves a free lease to others, so that leases spread over the
     * instances.
     */
    public void setAcquisitionDelay(Duration delay) {
        acquisitionDelay = delay;
    }

    /** Tells whether an order may be given now. */
    public boolean mayOrder(Instant now) {
        return holding
                && !stopping
                && !now.isBefore(ordersFrom)
                && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /** Tells whether this instance holds the lease, as far as it knows. */
    public boolean holding(Instant now) {
        return holding && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /** Returns the fence of the lease that this instance holds or has seen. */
    public FencingToken fence() {
        return latestRecord == null ? FencingToken.NONE : latestRecord.fence();
    }

    /** Returns the lease as last seen. */
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
        if (event instanceof LeaseEvent.HolderResponded heard) {
            onHolderResponse(heard, now);
            return List.of();
        }
        if (event instanceof LeaseEvent.Paused) {
            renewedAt = Instant.EPOCH;
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

    private void onHolderResponse(LeaseEvent.HolderResponded event, Instant now) {
        if (event.revision() > holderRevision) {
            holderRevision = event.revision();
            holderRevisionSince = now;
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
            // A write whose answer was lost took effect; only a new renewal proves when.
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
        renewedAt = event.startedAt();
        nextCallAt = event.startedAt().plus(RENEWAL_PERIOD);
        if (holding) {
            return List.of();
        }
        holding = true;
        ordersFrom = previous == null ? now : earliestOrderTime(now);
        return List.of(new LeaseCommand.Acquired(latestRecord));
    }

    /** The earliest time at which an order can not fall into the turn of an earlier holder. */
    private Instant earliestOrderTime(Instant now) {
        Instant turnStart = previousRenewalBound.plus(ORDER_PERIOD).plus(turnTime).plus(TURN_MARGIN);
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
        if (latestRecord.released() || holderStoppedOrdering && latestRecord.revision() == holderRevision) {
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

    /** Takes a lease that nobody holds, after leaving it to others for a while. */
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

    /** Takes a lease that the store shows as this instance's own. */
    private List<LeaseCommand> reacquireOwnLease(Instant now) {
        if (latestRecord.process().equals(process)) {
            // The answer to the write that took it was lost; what that write waited for still
            // holds.
            return write(latestRecord.fence(), now);
        }
        // An earlier process of this instance held it, and no other instance did since. If that one
        // still waited for its turn, this one has to wait for it as well.
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
