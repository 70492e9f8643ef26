package org.tarragonlug.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ServerId;

/** Talks to model engines. */
public interface EngineClient {
    /**
     * Sends an order and waits for its end.
     *
     * @param cancellation its end closes the connection of the order, whose outcome is then unknown
     * @return how it ended; the stage does not fail
     */
    CompletionStage<OrderOutcome> order(
            InetSocketAddress address, Order order, CompletionStage<Void> cancellation);

    /** Sends an order that is never abandoned. */
    default CompletionStage<OrderOutcome> order(InetSocketAddress address, Order order) {
        return order(address, order, new CompletableFuture<>());
    }

    /** Fetches the engine's report over a new connection; fails with BACKEND_UNREACHABLE. */
    CompletionStage<ServerReport> report(ServerId server, InetSocketAddress address);

    /** Starts a generation. */
    Generation generate(
            InetSocketAddress address, GenerationRequest request, GenerationListener listener);
}
