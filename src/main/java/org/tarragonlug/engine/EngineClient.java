package org.tarragonlug.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ServerId;

/** Client for model engines. */
public interface EngineClient {
    /**
     * Sends an order to an engine.
     *
     * @param cancellation completion of this stage closes the connection of the order, whose
     *     outcome is then {@code UNKNOWN}
     * @return the outcome, when the order has ended; the stage never fails
     */
    CompletionStage<OrderOutcome> order(
            InetSocketAddress address, Order order, CompletionStage<Void> cancellation);

    /** Sends an order that is never cancelled. */
    default CompletionStage<OrderOutcome> order(InetSocketAddress address, Order order) {
        return order(address, order, new CompletableFuture<>());
    }

    /**
     * Fetches the report of an engine over a new connection.
     *
     * @return the report; fails with {@code BACKEND_UNREACHABLE} if it cannot be fetched
     */
    CompletionStage<ServerReport> report(ServerId server, InetSocketAddress address);

    /** Starts a generation whose tokens are passed to the listener. */
    Generation generate(
            InetSocketAddress address, GenerationRequest request, GenerationListener listener);
}
