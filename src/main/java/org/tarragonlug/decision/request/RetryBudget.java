package org.tarragonlug.decision.request;

/**
 * Bounds retries to a share of first attempts plus a reserve, so that a failing group of servers
 * does not get a multiple of its load. The unused share is capped, because a long quiet time must
 * not pay for a storm.
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
