package org.tarragonlug.decision.quota;

import java.util.Optional;
import org.tarragonlug.decision.account.Quota;

/**
 * What lenders and borrowers may give and spend of an account's quota.
 *
 * <p>The limit of a sliding window W is {@code M = (rate x W + burst) x (1 + overage) + slack}. A
 * request that arrives in the window takes its cost at most {@link QuotaTimes#MAX_STALL} and {@link
 * QuotaTimes#MAX_WAIT} later. It takes it from a grant, which was issued at most {@link
 * QuotaTimes#GRANT_LIFETIME} before, or as an advance. Lenders refill their buckets by the time
 * between two reports of a borrower, at most {@link QuotaTimes#MAX_CREDIT}, so they are credited
 * for at most that much more than the time in which they issue. The grants that can be spent on the
 * requests of a window are therefore at most {@code burst + rate x (W + MAX_STALL + MAX_WAIT +
 * GRANT_LIFETIME + MAX_CREDIT)}. What remains of M is divided equally among the instances, as the
 * advance that each may have spent without a grant at any time. Both together are at most M. Where
 * M is too small for the whole rate and burst, the burst is reduced first and then the rate, and no
 * advance remains.
 *
 * <p>A bucket that holds less than what flows in between two reports would lose allowance, so the
 * burst is at least the rate times {@link #MIN_BURST_SECONDS}.
 *
 * @param rate units per second that lenders give, over all instances
 * @param burst units that lenders keep at most, over all instances
 * @param advance units that instances may spend without a grant, over all instances
 */
record QuotaPlan(double rate, double burst, double advance) {
    /** The smallest burst of a bucket, in seconds of the rate: the regular interval of reports. */
    private static final double MIN_BURST_SECONDS = 0.4;

    /** Returns the plan of a quota; without a tolerance there is no advance. */
    static QuotaPlan of(Quota quota, Optional<QuotaTolerance> tolerance) {
        if (tolerance.isEmpty()) {
            return new QuotaPlan(quota.ratePerSecond(), burst(quota), 0);
        }
        double window = QuotaTimes.seconds(tolerance.get().window());
        double allowance = quota.ratePerSecond() * window + quota.burst();
        double limit = allowance * (1 + tolerance.get().overage()) + tolerance.get().slack();
        double time =
                window
                        + QuotaTimes.seconds(QuotaTimes.MAX_STALL)
                        + QuotaTimes.seconds(QuotaTimes.MAX_WAIT)
                        + QuotaTimes.seconds(QuotaTimes.GRANT_LIFETIME)
                        + QuotaTimes.seconds(QuotaTimes.MAX_CREDIT);
        double rate = Math.min(quota.ratePerSecond(), limit / (time + MIN_BURST_SECONDS));
        double burst = Math.min(burst(quota), limit - rate * time);
        return new QuotaPlan(rate, burst, Math.max(0, limit - rate * time - burst));
    }

    private static double burst(Quota quota) {
        return Math.max(quota.burst(), quota.ratePerSecond() * MIN_BURST_SECONDS);
    }
}
