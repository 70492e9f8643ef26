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
 * The orders that wait for their answers, and which of them wait on a silent connection.
 *
 * <p>The answer to a load comes only when the load has ended, so a long wait alone proves nothing,
 * and the order's own time limit is some minutes. But the engine's reports, which come over new
 * connections, say whether it still works on the order. If two of them, apart by the lag of
 * reports, say that it does not, the answer was lost: the order is abandoned, and the planner
 * repeats it as one of unknown outcome.
 */
final class OrdersInFlight {
    /** Reports may show a state this much older than their arrival. */
    private static final Duration REPORT_LAG = Duration.ofSeconds(2);

    private final Map<OperationId, PendingOrder> pending = new HashMap<>();

    /** Adds an order; the result ends when the order is to be abandoned. */
    CompletionStage<Void> add(Order order, Instant now) {
        PendingOrder added = new PendingOrder(order, now);
        pending.put(order.operation(), added);
        return added.abandoned;
    }

    void remove(Order order) {
        pending.remove(order.operation());
    }

    /**
     * Abandons the orders that the engine certainly does not work on.
     *
     * @param report what the engine says
     * @param askedAt when it was asked
     */
    void onReport(ServerReport report, Instant askedAt) {
        for (PendingOrder order : List.copyOf(pending.values())) {
            if (order.order.server().equals(report.server()) && order.isAnswerLost(report, askedAt)) {
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
