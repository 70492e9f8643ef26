package org.tarragonlug.measure;

import java.time.Instant;
import org.tarragonlug.id.AccountName;

/** A request of the simulation, which costs a part of its account's quota. */
final class QuotaRequest {
    private final AccountName account;
    private final long cost;
    private final Instant arrivedAt;
    private QuotaWindow.Entry entry;

    QuotaRequest(AccountName account, long cost, Instant arrivedAt) {
        this.account = account;
        this.cost = cost;
        this.arrivedAt = arrivedAt;
    }

    AccountName account() {
        return account;
    }

    long cost() {
        return cost;
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    void setEntry(QuotaWindow.Entry admitted) {
        entry = admitted;
    }

    void markNotRun() {
        entry.markNotRun();
    }
}
