package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.quota.QuotaTolerance;

/** All costs that servers ran for one account, checked against the limit after the run. */
final class QuotaWindow {
    /** A cost, by the time at which its request arrived. */
    static final class Entry {
        private final Instant at;
        private final double cost;
        private boolean notRun;

        private Entry(Instant at, double cost) {
            this.at = at;
            this.cost = cost;
        }

        void markNotRun() {
            notRun = true;
        }
    }

    private final List<Entry> entries = new ArrayList<>();

    Entry add(Instant at, double cost) {
        Entry entry = new Entry(at, cost);
        entries.add(entry);
        return entry;
    }

    /** Returns the largest cost in any window, as a fraction of the limit. */
    double largestUse(Quota quota, QuotaTolerance tolerance) {
        Duration window = tolerance.window();
        double allowance = quota.ratePerSecond() * window.toMillis() / 1000.0 + quota.burst();
        double limit = allowance * (1 + tolerance.overage()) + tolerance.slack();
        List<Entry> run = new ArrayList<>(entries);
        run.removeIf(entry -> entry.notRun);
        run.sort(Comparator.comparing(entry -> entry.at));
        double sum = 0;
        double largest = 0;
        int first = 0;
        for (Entry entry : run) {
            sum += entry.cost;
            while (run.get(first).at.isBefore(entry.at.minus(window))) {
                sum -= run.get(first).cost;
                first++;
            }
            largest = Math.max(largest, sum);
        }
        return largest / limit;
    }
}
