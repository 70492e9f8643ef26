package org.tarragonlug.decision.quota;

import java.time.Instant;
import java.util.Optional;

/**
 * What one request has taken of an account's allowance. It keeps what of it can be returned, until
 * when, and to which allowance: an account that loses its quota and gets one again has another
 * allowance, under the same name.
 */
public final class QuotaCharge {
    private final Optional<BorrowedAllowance> allowance;
    private final Instant at;
    private final Instant grantExpiry;
    private long granted;
    private long advance;
    private long settled;
    private Instant settledExpiry = Instant.MAX;
    private final boolean lenderHeard;
    private boolean returned;

    QuotaCharge(
            Optional<BorrowedAllowance> allowance,
            long granted,
            Instant grantExpiry,
            long advance,
            boolean lenderHeard,
            Instant at) {
        this.lenderHeard = lenderHeard;
        this.allowance = allowance;
        this.granted = granted;
        this.grantExpiry = grantExpiry;
        this.advance = advance;
        this.at = at;
    }

    /** Returns the allowance that pays for the request; empty if none was needed. */
    Optional<BorrowedAllowance> allowance() {
        return allowance;
    }

    Instant at() {
        return at;
    }

    /** Returns whether the lender was heard when the request was charged. */
    boolean lenderHeard() {
        return lenderHeard;
    }

    /** Returns the units that no grant has covered yet. */
    long advance() {
        return advance;
    }

    /** Covers a part of the advance with a grant that expires at a time. */
    void settle(long amount, Instant expiry) {
        advance -= amount;
        settled += amount;
        settledExpiry = expiry.isBefore(settledExpiry) ? expiry : settledExpiry;
    }

    /** Marks the charge as returned; false if it was before. */
    boolean markReturned() {
        boolean first = !returned;
        returned = true;
        return first;
    }

    /** Returns the units that came from grants before the request was charged. */
    long granted() {
        return granted;
    }

    Instant grantExpiry() {
        return grantExpiry;
    }

    long settled() {
        return settled;
    }

    Instant settledExpiry() {
        return settledExpiry;
    }

    void clearAdvance() {
        advance = 0;
    }
}
