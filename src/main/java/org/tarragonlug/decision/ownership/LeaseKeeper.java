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
public final class LeaseKeeper implements StateMachine<LeaseEvent, LeaseCommand> {
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
    static final Duration SILENCE = Duration.ofMillis(1300);

    private static final Duration READ_PERIOD = Duration.ofMillis(500);

    /** How often the lease of a silent holder is read. */
    private static final Duration WATCH_PERIOD = Duration.ofMillis(1500);

    private static final Duration CALL_LIMIT = Duration.ofMillis(1500);
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(400);
    private static final Duration TURN_MARGIN = Duration.ofMillis(200);

    private final InstanceId self;
    private final String process;
    private final String address;
    private final Duration turnTime;
    private LeaseRecord seen;
    private Instant seenSince = Instant.EPOCH;
    private Instant lastHeard = Instant.EPOCH;
    private Instant nextCall = Instant.EPOCH;
    private Instant callBegun;
    private boolean holding;
    private Instant renewedAt = Instant.EPOCH;
    private Instant ordersFrom = Instant.MAX;

    /** No order of an earlier holder began later than ORDER_PERIOD after this. */
    private Instant takeoverBasis = Instant.EPOCH;

    private boolean readOnce;
    private Instant readAt = Instant.EPOCH;

    /** The newest renewal that a holder has told, and when it was first told. */
    private long heardRevision;

    private Instant heardSince = Instant.EPOCH;

    /** Whether the holder has said that it gives no more orders, and since when. */
    private boolean gaveUp;

    private Instant gaveUpAt = Instant.EPOCH;

    /** How long to leave a free lease to others, and since when it has been free. */
    private Duration hesitation = Duration.ZERO;

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
    public LeaseKeeper(InstanceId self, String process, String address, Duration turnTime) {
        this.self = self;
        this.process = process;
        this.address = address;
        this.turnTime = turnTime;
    }

    /**
     * Sets how long this instance leaves a free lease to others, so that leases spread over the
     * instances.
     */
    public void hesitate(Duration time) {
        hesitation = time;
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
        return seen == null ? FencingToken.NONE : seen.fence();
    }

    /** Returns the lease as last seen. */
    public Optional<LeaseRecord> seen() {
        return Optional.ofNullable(seen);
    }

    @Override
    public List<LeaseCommand> handle(LeaseEvent event, Instant now) {
        if (event instanceof LeaseEvent.Read read) {
            callBegun = null;
            return observed(read.stored(), now);
        }
        if (event instanceof LeaseEvent.Written written) {
            callBegun = null;
            return written(written, now);
        }
        if (event instanceof LeaseEvent.Conflicted conflicted) {
            callBegun = null;
            return observed(conflicted.stored(), now);
        }
        if (event instanceof LeaseEvent.CallFailed) {
            callBegun = null;
            nextCall = now.plus(FAILURE_PAUSE);
            return List.of();
        }
        if (event instanceof LeaseEvent.HolderHeard heard) {
            heard(heard, now);
            return List.of();
        }
        if (event instanceof LeaseEvent.Paused) {
            renewedAt = Instant.EPOCH;
            seenSince = now;
            nextCall = now;
            callBegun = null;
            return List.of();
        }
        if (event instanceof LeaseEvent.Stopping) {
            return stop();
        }
        return tick(now);
    }

    private void heard(LeaseEvent.HolderHeard event, Instant now) {
        if (event.revision() > heardRevision) {
            heardRevision = event.revision();
            heardSince = now;
        }
        if (event.holding()) {
            lastHeard = now;
            gaveUp = false;
        } else if (!gaveUp) {
            gaveUp = true;
            gaveUpAt = now;
            lastHeard = Instant.EPOCH;
            nextCall = now;
        }
    }

    private List<LeaseCommand> stop() {
        boolean held = holding;
        stopping = true;
        holding = false;
        if (!held) {
            return List.of();
        }
        LeaseRecord released =
                new LeaseRecord(
                        self,
                        process,
                        address,
                        seen.fence(),
                        seen.renewal() + 1,
                        seen.ordering(),
                        true,
                        seen.revision());
        return List.of(new LeaseCommand.Write(released), new LeaseCommand.Lost("stopping"));
    }

    private List<LeaseCommand> observed(Optional<LeaseRecord> stored, Instant now) {
        LeaseRecord before = seen;
        LeaseRecord found = stored.orElse(null);
        readAt = now;
        nextCall = now.plus(READ_PERIOD);
        if (found == null) {
            seen = null;
            return lose("the lease was deleted");
        }
        boolean same = before != null && before.revision() == found.revision();
        seen = found;
        if (!same) {
            freeSince = null;
            boolean told = found.revision() == heardRevision;
            seenSince = told ? heardSince : now;
            gaveUp = gaveUp && told;
        }
        if (!found.released()) {
            nextCall = now.plus(WATCH_PERIOD);
        }
        if (found.holder().equals(self)) {
            // A write whose answer was lost took effect; only a new renewal proves when.
            nextCall = now;
            return List.of();
        }
        return lose("another instance holds the lease");
    }

    private List<LeaseCommand> lose(String reason) {
        if (!holding) {
            return List.of();
        }
        holding = false;
        return List.of(new LeaseCommand.Lost(reason));
    }

    private List<LeaseCommand> written(LeaseEvent.Written event, Instant now) {
        LeaseRecord before = seen;
        seen = event.stored();
        seenSince = now;
        if (stopping || seen.released()) {
            return List.of();
        }
        renewedAt = event.begun();
        nextCall = event.begun().plus(RENEWAL_PERIOD);
        if (holding) {
            return List.of();
        }
        holding = true;
        ordersFrom = before == null ? now : turnBegins(now);
        return List.of(new LeaseCommand.Acquired(seen));
    }

    /** The earliest time at which an order can not fall into the turn of an earlier holder. */
    private Instant turnBegins(Instant now) {
        Instant begins = takeoverBasis.plus(ORDER_PERIOD).plus(turnTime).plus(TURN_MARGIN);
        return begins.isBefore(now) ? now : begins;
    }

    private List<LeaseCommand> tick(Instant now) {
        if (stopping || callBegun != null && now.isBefore(callBegun.plus(CALL_LIMIT))) {
            return List.of();
        }
        if (now.isBefore(nextCall)) {
            return List.of();
        }
        if (holding) {
            return write(seen.fence(), now);
        }
        if (seen != null && now.isBefore(lastHeard.plus(SILENCE))) {
            return List.of();
        }
        if (seen == null) {
            return readOnce ? takeFree(new FencingToken(1), now) : read(now);
        }
        if (seen.holder().equals(self)) {
            return takeOwn(now);
        }
        if (seen.released() || gaveUp && seen.revision() == heardRevision) {
            Instant stoppedBy = seen.released() ? seenSince : gaveUpAt;
            takeoverBasis = stoppedBy.minus(ORDER_PERIOD);
            return takeFree(seen.fence().next(), now);
        }
        if (now.isAfter(seenSince.plus(TAKEOVER_AFTER)) && readAt.isAfter(lastHeard)) {
            takeoverBasis = seenSince;
            return takeFree(seen.fence().next(), now);
        }
        freeSince = null;
        return read(now);
    }

    /** Takes a lease that nobody holds, after leaving it to others for a while. */
    private List<LeaseCommand> takeFree(FencingToken fence, Instant now) {
        if (freeSince == null) {
            freeSince = now;
        }
        if (now.isBefore(freeSince.plus(hesitation))) {
            return now.isBefore(readAt.plus(READ_PERIOD)) ? List.of() : read(now);
        }
        freeSince = null;
        return write(fence, now);
    }

    /** Takes a lease that the store shows as this instance's own. */
    private List<LeaseCommand> takeOwn(Instant now) {
        if (seen.process().equals(process)) {
            // The answer to the write that took it was lost; what that write waited for still
            // holds.
            return write(seen.fence(), now);
        }
        // An earlier process of this instance held it, and no other instance did since. If that one
        // still waited for its turn, this one has to wait for it as well.
        takeoverBasis = seen.ordering() ? Instant.EPOCH : seenSince;
        return write(seen.fence().next(), now);
    }

    private List<LeaseCommand> read(Instant now) {
        readOnce = true;
        callBegun = now;
        nextCall = now.plus(READ_PERIOD);
        return List.of(new LeaseCommand.Read());
    }

    private List<LeaseCommand> write(FencingToken fence, Instant now) {
        callBegun = now;
        long revision = seen == null ? 0 : seen.revision();
        long renewal = seen == null ? 1 : seen.renewal() + 1;
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
