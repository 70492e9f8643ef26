package org.tarragonlug.decision.account;

/**
 * What an account may use over all instances: a rate, and a burst that may be used at once after a
 * time of less use.
 *
 * @param unit what the quota counts
 * @param ratePerSecond units per second; positive
 * @param burst units that may be used at once; not negative
 * @param defaultCost cost in units of a request that does not state its size
 */
public record Quota(QuotaUnit unit, double ratePerSecond, double burst, long defaultCost) {
    public Quota {
        if (!(ratePerSecond > 0) || burst < 0) {
            throw new IllegalArgumentException(
                    "a quota needs a positive rate and a burst of 0 or more; correct the account");
        }
    }
}
