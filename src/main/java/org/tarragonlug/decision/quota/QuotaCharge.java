package org.tarragonlug.decision.quota;

import java.time.Instant;
import org.tarragonlug.id.AccountName;

/**
 * What one request has taken of an account's allowance. It keeps what of it can be returned, and
 * until when.
 */
public final class QuotaCharge {
    private final AccountName account;
    private final Instant at;
    private final Instant grantExpiry;
    private long granted;
    private long advance;
    private long settled;
    private Instant settledExpiry = Instant.MAX;
    private final boolean lenderHeard;
    private boolean returned;

    QuotaCharge(
            AccountName account,
            long granted,
            Instant grantExpiry,
            long advance,
            boolean lenderHeard,
            Instant at) {
        this.lenderHeard = lenderHeard;
        this.account = account;
        this.granted = granted;
        this.grantExpiry = grantExpiry;
        this.advance = advance;
        this.at = at;
    }

    /** Returns the account that pays for the request. */
    public AccountName account() {
        return account;
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
