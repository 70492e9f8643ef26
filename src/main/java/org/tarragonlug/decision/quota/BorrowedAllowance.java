package org.tarragonlug.decision.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.AccountName;

/** What an instance holds, has advanced and expects to need of one account's allowance. */
final class BorrowedAllowance {
    private record Grant(long amount, Instant expiry) {}

    /** Weight of the last interval in the moving averages of demand. */
    private static final double AVERAGE_WEIGHT = 0.3;

    /** How long what is requested in advance should last, in seconds. */
    private static final double HORIZON_SECONDS = 0.5;

    /**
     * Requests in a horizon from which on allowance is requested in advance. With fewer, most of it
     * would expire unused.
     */
    private static final double MIN_REQUESTS = 2;

    /** Units per second below which an account counts as unused. */
    private static final double UNUSED_RATE = 0.01;

    /** Refusals count as one episode while they follow each other within this time. */
    private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(5);

    private final AccountName account;
    private QuotaPlan plan;
    private final List<Grant> grants = new ArrayList<>();
    private final Deque<QuotaCharge> advances = new ArrayDeque<>();
    private long uncovered;

    /** The part of the uncovered units that was advanced while no lender was heard. */
    private long uncoveredWithoutLender;

    private long waiting;
    private long spentSinceRequest;
    private int requestsSinceRequest;
    private double rate;
    private double requestRate;
    private Instant exhaustedUntil = Instant.MIN;
    private Instant roomAt = Instant.MIN;
    private Instant lastRefusalAt = Instant.MIN;
    private long refused;

    BorrowedAllowance(AccountName account, QuotaPlan plan) {
        this.account = account;
        this.plan = plan;
    }

    AccountName account() {
        return account;
    }

    void setPlan(QuotaPlan changed) {
        plan = changed;
    }

    /** Drops expired grants, and advances that no window contains any more. */
    void expire(Instant now, Duration advanceRetention) {
        grants.removeIf(grant -> !now.isBefore(grant.expiry()));
        while (!advances.isEmpty()
                && now.isAfter(advances.getFirst().at().plus(advanceRetention))) {
            QuotaCharge oldest = advances.removeFirst();
            subtract(oldest, oldest.advance());
            oldest.clearAdvance();
        }
    }

    private void subtract(QuotaCharge charge, long amount) {
        uncovered -= amount;
        uncoveredWithoutLender -= charge.lenderHeard() ? 0 : amount;
    }

    long held() {
        long sum = 0;
        for (Grant grant : grants) {
            sum += grant.amount();
        }
        return sum;
    }

    /** Returns what may be advanced now if each of a number of instances has an equal share. */
    long advanceRoom(int instances) {
        return instances == 0 ? 0 : Math.max(0, (long) (plan.advance() / instances) - uncovered);
    }

    boolean isExhausted(Instant now) {
        return now.isBefore(exhaustedUntil);
    }

    /** Returns the time until the lender or the end of the window gives room again. */
    Duration timeToRoom(Instant now, Duration advanceRetention) {
        Instant room = roomAt;
        if (!room.isAfter(now) && !advances.isEmpty()) {
            room = advances.getFirst().at().plus(advanceRetention);
        }
        return room.isAfter(now) ? Duration.between(now, room) : Duration.ZERO;
    }

    /** Takes units from grants, those that expire first, and the rest as an advance. */
    QuotaCharge take(long cost, boolean lenderHeard, Instant now) {
        long missing = cost;
        Instant expiry = Instant.MAX;
        Iterator<Grant> each = grants.iterator();
        List<Grant> remaining = new ArrayList<>();
        while (each.hasNext()) {
            Grant grant = each.next();
            long part = Math.min(grant.amount(), missing);
            missing -= part;
            if (part > 0 && grant.expiry().isBefore(expiry)) {
                expiry = grant.expiry();
            }
            if (part < grant.amount()) {
                remaining.add(new Grant(grant.amount() - part, grant.expiry()));
            }
        }
        grants.clear();
        grants.addAll(remaining);
        QuotaCharge charge =
                new QuotaCharge(
                        Optional.of(this), cost - missing, expiry, missing, lenderHeard, now);
        if (missing > 0) {
            advances.addLast(charge);
            subtract(charge, -missing);
        }
        spentSinceRequest += cost;
        requestsSinceRequest++;
        return charge;
    }

    /** Returns what a request took that has not run, as far as it is still valid. */
    void giveBack(QuotaCharge charge, Instant now) {
        if (charge.advance() > 0 && advances.remove(charge)) {
            subtract(charge, charge.advance());
            charge.clearAdvance();
        }
        addGrant(charge.granted(), charge.grantExpiry(), now);
        addGrant(charge.settled(), charge.settledExpiry(), now);
    }

    /** Covers advances with a grant, oldest first, and keeps the rest of it. */
    void onGranted(long amount, Instant expiry, Instant now) {
        long left = amount;
        while (left > 0 && !advances.isEmpty()) {
            QuotaCharge oldest = advances.getFirst();
            long part = Math.min(left, oldest.advance());
            oldest.settle(part, expiry);
            subtract(oldest, part);
            left -= part;
            if (oldest.advance() == 0) {
                advances.removeFirst();
            }
        }
        addGrant(left, expiry, now);
    }

    private void addGrant(long amount, Instant expiry, Instant now) {
        if (amount <= 0 || !now.isBefore(expiry)) {
            return;
        }
        int place = grants.size();
        while (place > 0 && grants.get(place - 1).expiry().isAfter(expiry)) {
            place--;
        }
        grants.add(place, new Grant(amount, expiry));
    }

    void onExhausted(Instant until, Instant room) {
        exhaustedUntil = until;
        roomAt = room;
    }

    void onRoom() {
        exhaustedUntil = Instant.MIN;
        roomAt = Instant.MIN;
    }

    void startWaiting(long cost) {
        waiting += cost;
    }

    void endWaiting(long cost) {
        waiting -= cost;
    }

    /**
     * Returns the advances that the lender should cover. Those made while no lender was heard are
     * left out. The allowance of that time was never given, so to cover them from the present one
     * would refuse requests that are within it.
     */
    long advanced() {
        return uncovered - uncoveredWithoutLender;
    }

    /** Returns what requests wait for beyond what is held. */
    long waiting() {
        return Math.max(0, waiting - held());
    }

    /** Brings the averages up to date at a request for allowance. */
    void measure(double seconds) {
        double weight = 1 - Math.pow(1 - AVERAGE_WEIGHT, seconds / HORIZON_SECONDS);
        rate += weight * (spentSinceRequest / seconds - rate);
        requestRate += weight * (requestsSinceRequest / seconds - requestRate);
        spentSinceRequest = 0;
        requestsSinceRequest = 0;
    }

    /**
     * Returns what should be granted if nobody needs it: advances that are not needed to be
     * covered, and what is expected to be spent beyond what is held and may be advanced.
     */
    long extra(int instances) {
        if (requestRate * HORIZON_SECONDS < MIN_REQUESTS) {
            return uncoveredWithoutLender;
        }
        double expected = rate * HORIZON_SECONDS - held() - advanceRoom(instances);
        return uncoveredWithoutLender + Math.max(0, (long) expected);
    }

    /** Counts a refusal; returns whether an episode of refusals begins. */
    boolean recordRefusal(Instant now) {
        lastRefusalAt = now;
        refused++;
        return refused == 1;
    }

    /** Returns the number of requests refused in the present episode; 0 if there is none. */
    long refused() {
        return refused;
    }

    /** Ends the episode of refusals if it is over; returns their number, or 0 if it goes on. */
    long endRefusals(Instant now) {
        if (refused == 0 || !now.isAfter(lastRefusalAt.plus(REFUSAL_PAUSE))) {
            return 0;
        }
        long count = refused;
        refused = 0;
        return count;
    }

    /** Tells whether nothing is held, owed or expected. */
    boolean isIdle() {
        return grants.isEmpty()
                && advances.isEmpty()
                && waiting == 0
                && refused == 0
                && spentSinceRequest == 0
                && rate < UNUSED_RATE;
    }
}
