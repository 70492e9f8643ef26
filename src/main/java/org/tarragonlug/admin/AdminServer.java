package org.tarragonlug.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.ServerStart;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.SupervisedPart;

/**
 * Serves {@code /metrics}, {@code /live}, {@code /ready}, {@code /state} and {@code /status}.
 *
 * <p>The server has its own I/O executor, so that it still answers when callers overload the
 * process.
 */
public final class AdminServer implements SupervisedPart {
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final String JSON = "application/json";

    private final InetSocketAddress address;
    private final IoExecutor ioExecutor;
    private final AdminSource source;
    private HttpServerContext context;

    /**
     * Creates the server without listening.
     *
     * @param address address to listen on; port 0 chooses a free port
     * @param ioExecutor executor of its connections; not closed here
     * @param source supplies the content of the answers
     */
    public AdminServer(InetSocketAddress address, IoExecutor ioExecutor, AdminSource source) {
        this.address = address;
        this.ioExecutor = ioExecutor;
        this.source = source;
    }

    @Override
    public String name() {
        return "admin-server";
    }

    @Override
    public void start() throws TarragonlugException {
        context =
                ServerStart.await(
                        HttpServers.forAddress(address)
                                .ioExecutor(ioExecutor)
                                .executionStrategy(HttpExecutionStrategies.offloadNone())
                                .listen(this::handle),
                        address);
    }

    /** Returns the address on which the started server listens, with the port that was chosen. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) context.listenAddress();
    }

    @Override
    public void stop() {
        if (context != null) {
            context.closeAsync().subscribe();
        }
    }

    private Single<HttpResponse> handle(
            HttpServiceContext connection, HttpRequest request, HttpResponseFactory factory) {
        BufferAllocator allocator = connection.executionContext().bufferAllocator();
        return switch (request.path()) {
            case "/metrics" ->
                    Single.succeeded(
                            factory.ok()
                                    .setHeader("content-type", TEXT)
                                    .payloadBody(allocator.wrap(source.metrics())));
            case "/live" -> health(source.alive(), factory);
            case "/ready" -> health(source.ready(), factory);
            case "/state" -> json(source.state(), factory, allocator);
            case "/status" -> json(source.status(), factory, allocator);
            default -> Single.succeeded(factory.notFound());
        };
    }

    private static Single<HttpResponse> health(boolean healthy, HttpResponseFactory factory) {
        return Single.succeeded(healthy ? factory.ok() : factory.serviceUnavailable());
    }

    private static Single<HttpResponse> json(
            CompletionStage<JsonNode> stage,
            HttpResponseFactory factory,
            BufferAllocator allocator) {
        return Single.fromStage(stage)
                .map(
                        node ->
                                factory.ok()
                                        .setHeader("content-type", JSON)
                                        .payloadBody(allocator.wrap(Json.bytes(node))));
    }
}
