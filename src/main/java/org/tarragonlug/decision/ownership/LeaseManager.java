package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

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
 *
 * <p>The store may come back from an older copy, in a new era. The copy may lack the lease, or show
 * one that another instance has held since. Therefore a record counts only in the era in which it
 * was written; a record from before tells nothing of who holds the lease. Only the holder knows
 * that it holds it. If its last renewal began less than TAKEOVER_AFTER ago, no other instance can
 * have taken the lease over, and the holder writes it again with its fencing token and goes on. All
 * other instances treat the lease like that of a silent holder, from the time at which they learn
 * of the era: a holder of an earlier era began its last renewal before then. A new holder gives
 * orders only after a renewal that began when no holder of an earlier era could write the lease
 * again. Its fencing token is above all those of earlier eras ({@link FencingToken#firstOf}),
 * because the copy does not show the highest one.
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
    private final boolean firstStart;

    /** The present era of the store. */
    private StoreEra era = StoreEra.NONE;

    /** When this instance learnt of the present era. */
    private Instant eraSince = Instant.EPOCH;

    /** The stored record as last read or written; null if there is none. */
    private LeaseRecord latestRecord;

    /** Whether the stored record was read or written in the present era. */
    private boolean storedKnown;

    /** The latest record that tells who holds the lease; null if none is known. */
    private LeaseRecord holderRecord;

    /** The highest fencing token in any record. */
    private FencingToken highestFence = FencingToken.NONE;

    /** Whether the lease is free if it is not stored. */
    private boolean absenceTrusted = true;

    /** Holders of earlier eras give no orders after this time. */
    private Instant earlierHoldersUntil = Instant.EPOCH;

    /** The last renewal must have begun by then before this instance gives orders. */
    private Instant renewalRequiredAt = Instant.EPOCH;

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
     * of it, less {@link #timeSinceLastOrderPeriodBegan}. Otherwise this is the latest time at
     * which the previous holder may have started its last renewal; EPOCH if there is no previous
     * holder to wait for.
     */
    private Instant previousRenewalBound = Instant.EPOCH;

    private Instant readAt = Instant.EPOCH;

    /** The newest renewal that a holder stated, and the time at which it was first stated. */
    private StorePosition statedRenewal = StorePosition.START;

    private Instant statedRenewalSince = Instant.EPOCH;

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
     * @param firstStart whether the whole system starts for the first time, so that no process has
     *     held a lease before
     */
    public LeaseManager(
            InstanceId self,
            String process,
            String address,
            Duration turnTime,
            boolean firstStart) {
        this.self = self;
        this.process = process;
        this.address = address;
        this.turnTime = turnTime;
        this.firstStart = firstStart;
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
                && !renewedAt.isBefore(renewalRequiredAt)
                && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /** Tells whether this instance holds the lease, judged by its last successful renewal. */
    public boolean holding(Instant now) {
        return holding && now.isBefore(renewedAt.plus(ORDER_PERIOD));
    }

    /**
     * Returns the fencing token of the last known holder; {@link FencingToken#NONE} if none is
     * known.
     */
    public FencingToken fence() {
        return holderRecord == null ? FencingToken.NONE : holderRecord.fence();
    }

    /**
     * Returns the latest record that was read or written and tells who holds the lease; empty if
     * none is known.
     */
    public Optional<LeaseRecord> latestRecord() {
        return Optional.ofNullable(holderRecord);
    }

    /** Tells whether this instance is the last known holder of the lease. */
    public boolean isLastHolder() {
        return holderRecord != null && isOfThisInstance(holderRecord);
    }

    /**
     * Tells whether a process of this instance wrote a record. An instance that was replaced may
     * have had the same name, but not the same address, and may still run.
     */
    private boolean isOfThisInstance(LeaseRecord record) {
        return record.holder().equals(self) && record.address().equals(address);
    }

    @Override
    public List<LeaseCommand> handle(LeaseEvent event, Instant now) {
        if (event instanceof LeaseEvent.Read read) {
            callStartedAt = null;
            return onRecordRead(read.stored(), now);
        }
        if (event instanceof LeaseEvent.Written written) {
            callStartedAt = null;
            return isOfPresentEra(written.stored())
                    ? onWritten(written, now)
                    : onCallOfEarlierEra(now);
        }
        if (event instanceof LeaseEvent.Conflicted conflicted) {
            callStartedAt = null;
            return onRecordRead(conflicted.stored(), now);
        }
        if (event instanceof LeaseEvent.CallFailed) {
            boolean ofEarlierEra = callStartedAt != null && callStartedAt.isBefore(eraSince);
            callStartedAt = null;
            return ofEarlierEra ? onCallOfEarlierEra(now) : onCallFailed(now);
        }
        if (event instanceof LeaseEvent.HolderResponded response) {
            onHolderResponse(response, now);
            return List.of();
        }
        if (event instanceof LeaseEvent.StoreEraChanged changed) {
            return onStoreEra(changed.era(), now);
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
            return onStopping(now);
        }
        return tick(now);
    }

    private List<LeaseCommand> onCallFailed(Instant now) {
        nextCallAt = now.plus(FAILURE_RETRY_DELAY);
        return List.of();
    }

    /** Begins the next call at once: the store answers, but in another era than was expected. */
    private List<LeaseCommand> onCallOfEarlierEra(Instant now) {
        nextCallAt = now;
        return List.of();
    }

    /**
     * Begins a new era. What holders stated belongs to an earlier one. A call under way may too,
     * but the next one waits for its end: of two calls, the first may be answered last.
     */
    private List<LeaseCommand> onStoreEra(StoreEra newEra, Instant now) {
        boolean firstContact = !era.isStated() && !storedKnown && !holding;
        era = newEra;
        eraSince = now;
        absenceTrusted = firstContact && firstStart && newEra.equals(StoreEra.FIRST);
        earlierHoldersUntil = absenceTrusted ? Instant.EPOCH : now.plus(ORDER_PERIOD);
        storedKnown = false;
        unchangedSince = now;
        freeSince = null;
        holderStoppedOrdering = false;
        nextCallAt = now;
        return isUncontested(now) ? List.of() : loseLease("the store came back from a copy");
    }

    /**
     * Tells whether no other instance can have taken over the lease that this instance holds,
     * whatever the store shows.
     */
    private boolean isUncontested(Instant now) {
        return holding && now.isBefore(renewedAt.plus(TAKEOVER_AFTER));
    }

    /**
     * Applies a statement of the holder, which is about its renewal at the stated position. It may
     * have been overtaken by one about a later renewal, for which it says nothing: a holder that
     * had stopped may give orders again. A statement of another era says nothing either.
     */
    private void onHolderResponse(LeaseEvent.HolderResponded event, Instant now) {
        StorePosition renewal = event.renewedAt();
        if (!renewal.era().equals(era) || statedRenewal.isAfter(renewal)) {
            return;
        }
        if (!renewal.equals(statedRenewal)) {
            statedRenewal = renewal;
            statedRenewalSince = now;
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

    private List<LeaseCommand> onStopping(Instant now) {
        boolean wasHolding = holding;
        boolean ordered = mayOrder(now) || holderRecord != null && holderRecord.ordering();
        stopping = true;
        holding = false;
        if (!wasHolding) {
            return List.of();
        }
        LeaseCommand lost = new LeaseCommand.Lost("stopping");
        if (!storedKnown) {
            return List.of(lost);
        }
        LeaseRecord released =
                new LeaseRecord(
                        self,
                        process,
                        address,
                        holderRecord.fence(),
                        holderRecord.renewal() + 1,
                        ordered,
                        true,
                        era,
                        storedPosition());
        return List.of(new LeaseCommand.Write(released), lost);
    }

    private StorePosition storedPosition() {
        return latestRecord == null ? new StorePosition(era, 0) : latestRecord.position();
    }

    private List<LeaseCommand> onRecordRead(Optional<LeaseRecord> stored, Instant now) {
        if (stored.filter(found -> isOutdated(found, now)).isPresent()) {
            return onCallFailed(now);
        }
        readAt = now;
        nextCallAt = now.plus(READ_PERIOD);
        storedKnown = true;
        if (stored.isEmpty()) {
            return onRecordMissing(now);
        }
        boolean renewed =
                latestRecord != null && stored.get().position().isAfter(latestRecord.position());
        learn(stored.get(), now);
        if (!isOfPresentEra(latestRecord)) {
            return onEarlierRecord(renewed, now);
        }
        holderRecord = latestRecord;
        if (!latestRecord.released()) {
            nextCallAt = now.plus(HELD_READ_PERIOD);
        }
        if (isOfThisInstance(latestRecord)) {
            // A write of this instance took effect, but its answer was lost or an earlier process
            // started it. Only an answered renewal starts an order period, so the next tick renews.
            nextCallAt = now;
            return List.of();
        }
        return loseLease("another instance holds the lease");
    }

    /**
     * Tells whether a record that was read is of an earlier era, or older than one that was read or
     * written since. Two calls may be under way after a change of the era or a pause, and the
     * answer to the first one may come last. An answer that states no era is of the present one.
     */
    private boolean isOutdated(LeaseRecord found, Instant now) {
        StorePosition position = found.position();
        if (era.isStated() && position.era().isStated()) {
            return !position.era().equals(era) || storedKnown && storedPosition().isAfter(position);
        }
        return holding(now)
                && isOfThisInstance(found)
                && found.fence().compareTo(holderRecord.fence()) < 0;
    }

    private void learn(LeaseRecord found, Instant now) {
        boolean unchanged =
                latestRecord != null && latestRecord.position().equals(found.position());
        latestRecord = found;
        highestFence = FencingToken.higher(highestFence, found.fence());
        if (!unchanged) {
            freeSince = null;
            boolean fromHolder = found.position().equals(statedRenewal);
            unchangedSince = fromHolder ? statedRenewalSince : now;
            holderStoppedOrdering = holderStoppedOrdering && fromHolder;
        }
    }

    private boolean isOfPresentEra(LeaseRecord record) {
        return record.writtenIn().equals(era);
    }

    private List<LeaseCommand> onRecordMissing(Instant now) {
        boolean lostByStore = latestRecord == null || !latestRecord.position().era().equals(era);
        latestRecord = null;
        if (lostByStore && isUncontested(now)) {
            nextCallAt = now;
            return List.of();
        }
        if (absenceTrusted) {
            holderRecord = null;
        }
        return loseLease("the lease was deleted");
    }

    /**
     * Handles a record of an earlier era: a copy of the store has brought it back, it was written
     * late, or its holder's release does not state eras.
     *
     * @param renewed whether it was written in the present era all the same, so that its holder may
     *     be alive
     */
    private List<LeaseCommand> onEarlierRecord(boolean renewed, Instant now) {
        if (holderRecord == null || renewed && !holding) {
            holderRecord = latestRecord;
        }
        if (isUncontested(now)) {
            nextCallAt = now;
            return List.of();
        }
        nextCallAt = now.plus(HELD_READ_PERIOD);
        return loseLease("the stored lease is of an earlier era");
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
        holderRecord = event.stored();
        storedKnown = true;
        highestFence = FencingToken.higher(highestFence, latestRecord.fence());
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
        ordersFrom = earliestOrderTime(previous, now);
        return List.of(new LeaseCommand.Acquired(latestRecord));
    }

    /**
     * Returns the earliest time at which an order cannot fall into the turn of a previous holder.
     * If the previous holder of the present era gave orders itself, those of earlier eras had
     * ended.
     *
     * @param previous the record that this instance has replaced; null if there was none
     */
    private Instant earliestOrderTime(LeaseRecord previous, Instant now) {
        if (previous == null && absenceTrusted) {
            renewalRequiredAt = Instant.EPOCH;
            return now;
        }
        boolean ordered = previous != null && isOfPresentEra(previous) && previous.ordering();
        renewalRequiredAt = ordered ? Instant.EPOCH : earlierHoldersUntil;
        Instant turnStart = later(previousRenewalBound.plus(ORDER_PERIOD), renewalRequiredAt);
        return later(now, turnStart.plus(turnTime).plus(TURN_MARGIN));
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private List<LeaseCommand> tick(Instant now) {
        if (stopping || callStartedAt != null && now.isBefore(callStartedAt.plus(CALL_TIMEOUT))) {
            return List.of();
        }
        if (now.isBefore(nextCallAt)) {
            return List.of();
        }
        if (holding) {
            return renew(now);
        }
        boolean heard = now.isBefore(holderRespondedAt.plus(HOLDER_SILENCE_TIMEOUT));
        if (heard && holderRecord != null) {
            return List.of();
        }
        if (!storedKnown) {
            return read(now);
        }
        if (latestRecord == null) {
            return absenceTrusted ? acquireFreeLease(now) : takeOver(now);
        }
        if (!isOfPresentEra(latestRecord)) {
            return takeOver(now);
        }
        if (isOfThisInstance(latestRecord)) {
            return reacquireOwnLease(now);
        }
        if (latestRecord.released()
                || holderStoppedOrdering && latestRecord.position().equals(statedRenewal)) {
            Instant stoppedBy = latestRecord.released() ? unchangedSince : holderStoppedOrderingAt;
            previousRenewalBound = stoppedBy.minus(timeSinceLastOrderPeriodBegan());
            return acquireFreeLease(now);
        }
        return takeOver(now);
    }

    /**
     * Renews the lease that this instance holds. In a new era it reads the lease first, and writes
     * it only if no other instance can have taken it over before.
     */
    private List<LeaseCommand> renew(Instant now) {
        if (!storedKnown) {
            return read(now);
        }
        boolean rewriting = latestRecord == null || !isOfPresentEra(latestRecord);
        if (rewriting && !isUncontested(now)) {
            return loseLease("the lease could not be written again in time");
        }
        return write(holderRecord.fence(), now);
    }

    /** Acquires the lease of a silent holder, once its renewal has not changed for long enough. */
    private List<LeaseCommand> takeOver(Instant now) {
        if (now.isAfter(unchangedSince.plus(TAKEOVER_AFTER)) && readAt.isAfter(holderRespondedAt)) {
            previousRenewalBound = unchangedSince;
            return acquireFreeLease(now);
        }
        freeSince = null;
        return read(now);
    }

    /**
     * Returns how long before the stop of the last holder the last order period began at the
     * latest. A holder that gave no order itself may have acquired the lease TAKEOVER_AFTER after
     * the last renewal of the holder before it, which may still give orders then.
     */
    private Duration timeSinceLastOrderPeriodBegan() {
        return latestRecord.ordering() ? ORDER_PERIOD : TAKEOVER_AFTER;
    }

    /** Returns a fencing token above those of all holders so far. */
    private FencingToken nextFence() {
        return FencingToken.higher(highestFence.next(), FencingToken.firstOf(era));
    }

    /** Acquires a lease that no instance holds, once the acquisition delay has passed. */
    private List<LeaseCommand> acquireFreeLease(Instant now) {
        if (freeSince == null) {
            freeSince = now;
        }
        if (now.isBefore(freeSince.plus(acquisitionDelay))) {
            return now.isBefore(readAt.plus(READ_PERIOD)) ? List.of() : read(now);
        }
        freeSince = null;
        return write(nextFence(), now);
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
        return write(nextFence(), now);
    }

    private List<LeaseCommand> read(Instant now) {
        callStartedAt = now;
        nextCallAt = now.plus(READ_PERIOD);
        return List.of(new LeaseCommand.Read());
    }

    private List<LeaseCommand> write(FencingToken fence, Instant now) {
        callStartedAt = now;
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
                                era,
                                storedPosition())));
    }
}
