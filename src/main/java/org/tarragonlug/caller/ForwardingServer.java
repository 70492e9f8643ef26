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
 * <p>A request is passed to the listener only when its body is complete, so that a broken
 * connection of a caller never leaves an incomplete request at a backend server. The listener is
 * called on the I/O thread of the connection.
 */
public final class ForwardingServer implements SupervisedPart {
    /**
     * Longer than callers keep idle connections, so that this server never closes a connection on
     * which a caller is just sending a request.
     */
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
     * @param address address to listen on; port 0 chooses a free port
     * @param connectionLimit maximum number of connections of callers
     * @param ioExecutor executor of the connections; must have a single thread, because the
     *     counters are not synchronised; not closed here
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
                                .appendLateConnectionAcceptor(
                                        new ConnectionLimiter(connectionLimit))
                                .listenStreaming(this::handle),
                        address);
    }

    /** Returns the address on which the started server listens, with the port that was chosen. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) context.listenAddress();
    }

    /** Returns the number of requests that are being received or answered. */
    public int inProgress() {
        return inProgress;
    }

    @Override
    public void stop() {
        if (context != null) {
            context.closeAsync().subscribe();
        }
    }

    /** Stops listening, closes idle connections and lets answers in progress finish. */
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
