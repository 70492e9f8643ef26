package org.tarragonlug.instance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.OperationId;

/**
 * Tracks the orders that wait for their answers, and detects those that wait on a silent
 * connection.
 *
 * <p>An engine answers a load order only when the load has ended. A long wait is therefore no proof
 * of a lost answer, and the timeout of an order is several minutes. The engine's reports, which are
 * sent over new connections, show whether the engine still works on the order. If two reports, at
 * least the lag of reports apart, show that it does not, the answer was lost. The order is then
 * abandoned, and the planner repeats it as an order of unknown outcome.
 */
final class OrdersInFlight {
    /** Maximum age of the state in a report when the report arrives. */
    private static final Duration REPORT_LAG = Duration.ofSeconds(2);

    private final Map<OperationId, PendingOrder> pending = new HashMap<>();

    /** Adds an order; the returned stage completes when the order must be abandoned. */
    CompletionStage<Void> add(Order order, Instant now) {
        PendingOrder added = new PendingOrder(order, now);
        pending.put(order.operation(), added);
        return added.abandoned;
    }

    void remove(Order order) {
        pending.remove(order.operation());
    }

    /**
     * Abandons the orders that the engine certainly no longer works on.
     *
     * @param report report of the engine
     * @param askedAt time at which the report was requested
     */
    void onReport(ServerReport report, Instant askedAt) {
        for (PendingOrder order : List.copyOf(pending.values())) {
            if (order.order.server().equals(report.server())
                    && order.isAnswerLost(report, askedAt)) {
                pending.remove(order.order.operation());
                order.abandoned.complete(null);
            }
        }
    }

    private static final class PendingOrder {
        private final Order order;
        private final Instant sentAt;
        private final CompletableFuture<Void> abandoned = new CompletableFuture<>();
        private Instant idleSince = Instant.MAX;

        PendingOrder(Order order, Instant sentAt) {
            this.order = order;
            this.sentAt = sentAt;
        }

        boolean isAnswerLost(ServerReport report, Instant askedAt) {
            boolean isLoading =
                    order.kind() == OrderKind.LOAD
                            && report.loading().containsKey(order.artifact());
            if (isLoading || askedAt.isBefore(sentAt.plus(REPORT_LAG))) {
                idleSince = Instant.MAX;
                return false;
            }
            if (idleSince.equals(Instant.MAX)) {
                idleSince = askedAt;
            }
            return !askedAt.isBefore(idleSince.plus(REPORT_LAG));
        }
    }
}
