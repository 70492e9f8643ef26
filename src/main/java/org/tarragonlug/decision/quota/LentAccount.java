package org.tarragonlug.decision.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.id.InstanceId;

/**
 * The bucket of one account at a lender. It is brought up to date when it is used, from the seconds
 * that the lender has been credited with in total.
 */
final class LentAccount {
    private record Shortfall(long amount, Instant at) {}

    /**
     * What a borrower gets.
     *
     * @param amount units granted
     * @param missing units that are needed beyond that
     */
    record Grant(long amount, long missing) {}

    /** How long a shortfall counts that its borrower does not report again. */
    private static final Duration SHORTFALL_VALIDITY = Duration.ofMillis(300);

    /** The part of what nobody needs now that one borrower gets in advance. */
    private static final double EXTRA_SHARE = 0.25;

    /** The part of the burst from which on what requests wait for is given in part. */
    private static final double LARGE_SHARE = 0.25;

    private static final double MILLIS_PER_SECOND = 1000;

    private QuotaPlan plan;
    private double level;
    private double creditedBefore;
    private final Map<InstanceId, Shortfall> shortfalls = new LinkedHashMap<>();
    private long missing;

    LentAccount(QuotaPlan plan, double credited) {
        this.plan = plan;
        this.creditedBefore = credited;
    }

    /** Changes rate and burst; what is beyond a smaller burst is lost at once. */
    void setPlan(QuotaPlan changed, double credited, double part) {
        refill(credited, part);
        plan = changed;
        limit(part);
    }

    /** Adds what has flown in until now. */
    void refill(double credited, double part) {
        level += plan.rate() * (credited - creditedBefore);
        creditedBefore = credited;
        limit(part);
    }

    /** Limits the bucket to the part of the burst that this lender's borrowers stand for. */
    void limit(double part) {
        level = Math.min(level, plan.burst() * part);
    }

    /**
     * Grants what was advanced, then what requests wait for, and of the rest a part as extra.
     * Advances can be covered in part. What requests wait for is given whole or not at all, since a
     * part that is too small for the next request expires unused; only a large amount, which the
     * bucket may never hold, is given in part.
     */
    Grant grant(long advanced, long waiting, long extra) {
        long covered = (long) Math.min(advanced, level);
        level -= covered;
        long forWaiting =
                level >= waiting || isLarge(waiting) ? (long) Math.min(waiting, level) : 0;
        level -= forWaiting;
        long missingNow = advanced - covered + waiting - forWaiting;
        long inAdvance = missingNow > 0 ? 0 : (long) Math.min(extra, level * EXTRA_SHARE);
        level -= inAdvance;
        return new Grant(covered + forWaiting + inAdvance, missingNow);
    }

    private boolean isLarge(long waiting) {
        return waiting > plan.burst() * LARGE_SHARE;
    }

    /** Records how much of its need a borrower did not get; 0 if it got all. */
    void recordShortfall(InstanceId borrower, long amount, Instant now) {
        remove(shortfalls.remove(borrower));
        if (amount > 0) {
            shortfalls.put(borrower, new Shortfall(amount, now));
            missing += amount;
        }
        Iterator<Shortfall> each = shortfalls.values().iterator();
        while (each.hasNext()) {
            Shortfall oldest = each.next();
            if (!now.isAfter(oldest.at().plus(SHORTFALL_VALIDITY))) {
                return;
            }
            each.remove();
            remove(oldest);
        }
    }

    private void remove(Shortfall shortfall) {
        if (shortfall != null) {
            missing -= shortfall.amount();
        }
    }

    /** Returns the time in milliseconds in which all shortfalls are covered, at least 1. */
    int waitMillis(double part) {
        double seconds = missing / (plan.rate() * part);
        return (int) Math.max(1, Math.min(seconds * MILLIS_PER_SECOND, Integer.MAX_VALUE));
    }
}
