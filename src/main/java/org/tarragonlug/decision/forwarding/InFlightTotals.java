package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/**
 * Sums up the requests that all instances have in flight on each server.
 *
 * <p>With many instances, each one sends few requests to a server and therefore rarely learns the
 * load of the server from an answer. The sum shows the load of all servers to all instances, at the
 * cost of one number per server in the messages that they exchange anyway. A report replaces the
 * instance's previous one, so a lost message only makes the sum older. The report of an instance
 * that stopped reporting expires, since the requests of an ended process end with it.
 */
public final class InFlightTotals {
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    private record Report(Map<ServerId, Integer> counts, Instant at) {}

    private final Map<InstanceId, Report> reports = new HashMap<>();
    private final Map<ServerId, Integer> totals = new HashMap<>();

    /** Replaces the counts of an instance; servers without requests are left out. */
    public void onReport(InstanceId from, Map<ServerId, Integer> counts, Instant now) {
        Report before = reports.put(from, new Report(Map.copyOf(counts), now));
        if (before != null) {
            subtract(before);
        }
        counts.forEach((server, count) -> totals.merge(server, count, Integer::sum));
    }

    /** Returns the sums of all valid reports; servers without requests are left out. */
    public Map<ServerId, Integer> totals(Instant now) {
        Iterator<Report> each = reports.values().iterator();
        while (each.hasNext()) {
            Report report = each.next();
            if (now.isAfter(report.at().plus(REPORT_VALIDITY))) {
                each.remove();
                subtract(report);
            }
        }
        return Map.copyOf(totals);
    }

    private void subtract(Report report) {
        report.counts()
                .forEach(
                        (server, count) ->
                                totals.computeIfPresent(
                                        server, (id, sum) -> sum - count > 0 ? sum - count : null));
    }
}
