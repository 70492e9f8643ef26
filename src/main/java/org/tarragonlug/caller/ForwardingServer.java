package org.tarragonlug.caller;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.ServerStart;
import org.tarragonlug.runtime.SupervisedPart;

/**
 * Serves callers whose requests are forwarded byte for byte.
 *
 * <p>A request is handed on when its body is complete, so that a break on the caller's side never
 * leaves a half request at a server. All calls happen on the I/O thread of the connection.
 */
public final class ForwardingServer implements SupervisedPart {
    /** Longer than callers keep connections, so that a request never meets a close from here. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private static final int HEADER_BYTES = 64 * 1024;
    private static final long BODY_BYTES = 8L * 1024 * 1024;
    private static final int TOO_LARGE = 413;

    private final InetSocketAddress address;
    private final int connectionLimit;
    private final IoExecutor ioExecutor;
    private final ForwardedCallListener listener;
    private long callCount;
    private int inProgress;
    private HttpServerContext context;

    /**
     * Creates the server without listening.
     *
     * @param address where to listen; port 0 chooses a free one
     * @param connectionLimit most connections of callers
     * @param ioExecutor runs the connections; it must have one thread
     * @param listener receives the requests
     */
    public ForwardingServer(
            InetSocketAddress address,
            int connectionLimit,
            IoExecutor ioExecutor,
            ForwardedCallListener listener) {
        this.address = address;
        this.connectionLimit = connectionLimit;
        this.ioExecutor = ioExecutor;
        this.listener = listener;
    }

    @Override
    public String name() {
        return "forwarding-server";
    }

    @Override
    public void start() throws TarragonlugException {
        context =
                ServerStart.await(
                        HttpServers.forAddress(address)
                                .ioExecutor(ioExecutor)
                                .drainRequestPayloadBody(false)
                                .executionStrategy(HttpExecutionStrategies.offloadNone())
                                .protocols(
                                        HttpProtocolConfigs.h1()
                                                .maxHeaderFieldLength(HEADER_BYTES)
                                                .maxStartLineLength(HEADER_BYTES)
                                                .build())
                                .socketOption(
                                        ServiceTalkSocketOptions.IDLE_TIMEOUT,
                                        IDLE_TIMEOUT.toMillis())
                                .appendLateConnectionAcceptor(new ConnectionLimiter(connectionLimit))
                                .listenStreaming(this::handle),
                        address);
    }

    /** Returns the address it listens on. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) context.listenAddress();
    }

    /** Returns the number of requests being received or answered. */
    public int inProgress() {
        return inProgress;
    }

    @Override
    public void stop() {
        if (context != null) {
            context.closeAsync().subscribe();
        }
    }

    /** Stops listening, closes idle connections and lets the others finish their answers. */
    public void stopGracefully() {
        if (context != null) {
            context.closeAsyncGracefully().subscribe();
        }
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext connection,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory) {
        callCount++;
        inProgress++;
        DefaultForwardedCall call =
                new DefaultForwardedCall(
                        callCount, connection, request, factory, listener, () -> inProgress--);
        request.payloadBody()
                .collect(() -> new BodyCollector(BODY_BYTES), BodyCollector::add)
                .subscribe(body -> onBodyReceived(call, body), failure -> call.onBodyFailed());
        return call.response();
    }

    private void onBodyReceived(DefaultForwardedCall call, BodyCollector body) {
        if (body.limitExceeded()) {
            call.answer(TOO_LARGE, Map.of("connection", "close"), new byte[0]);
            return;
        }
        call.onBodyReceived(body.bytes());
        listener.onRequest(call);
    }
}
