package org.tarragonlug.decision.request;

/**
 * Limits retries to a share of first attempts plus a reserve, so that retries do not multiply the
 * load on a failing group of servers. The unused share is capped, so that a long period without
 * failures does not allow a burst of retries.
 */
final class RetryBudget {
    private static final double MAX_BALANCE = 100;

    private final double share;
    private double balance;

    RetryBudget(double share, double reserve) {
        this.share = share;
        balance = reserve;
    }

    void addFirstAttempt() {
        balance = Math.max(balance, Math.min(MAX_BALANCE, balance + share));
    }

    boolean tryTake() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
