package org.tarragonlug.caller;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

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
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.ServerStart;
import org.tarragonlug.runtime.SupervisedPart;

/**
 * Serves callers whose requests are forwarded byte for byte.
 *
 * <p>The listener decides on the head of a request whether its body is read. The request is passed
 * to the listener only when its body is complete, so that a broken connection of a caller never
 * leaves an incomplete request at a backend server. The listener is called on the I/O thread of the
 * connection.
 */
public final class ForwardingServer implements SupervisedPart {
    /**
     * Longer than callers keep idle connections, so that this server never closes a connection on
     * which a caller is just sending a request.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private static final int HEADER_BYTES = 64 * 1024;

    /** Memory of all bodies that are being received or forwarded, a quarter of the usual heap. */
    private static final long ALL_BODIES_BYTES = 16L * 1024 * 1024;

    /** How long a body may wait for memory. Callers give up when nothing is read for a second. */
    private static final Duration MEMORY_WAIT = Duration.ofMillis(800);

    /** Length of the longest body that is read to keep a connection whose call is refused. */
    private static final long SHORT_BODY_BYTES = 64 * 1024;

    /** How long the body of a refused call may take. Callers stop when they read the answer. */
    private static final Duration DISCARD_TIME = Duration.ofSeconds(5);

    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    /** When a caller may come back whose body found no memory. */
    private static final Map<String, String> RETRY_SOON = Map.of("retry-after", "0.5");

    private final InetSocketAddress address;
    private final ConnectionLimiter connections;
    private final IoExecutor ioExecutor;
    private final ForwardedCallListener listener;
    private final LongSupplier bodyLimit;
    private final BodyMemory bodyMemory = new BodyMemory(ALL_BODIES_BYTES);
    private long callCount;
    private int inProgress;
    private volatile HttpServerContext context;
    private volatile boolean stopping;

    /**
     * Creates the server without listening.
     *
     * @param address address to listen on; port 0 chooses a free port
     * @param connectionLimit maximum number of connections of callers
     * @param ioExecutor executor of the connections; must have a single thread, because the
     *     counters are not synchronised; not closed here
     * @param listener receives the requests
     * @param bodyLimit supplies the length of the longest body that is accepted at present, in
     *     bytes; a body that is longer than the memory for all is not accepted either
     */
    public ForwardingServer(
            InetSocketAddress address,
            int connectionLimit,
            IoExecutor ioExecutor,
            ForwardedCallListener listener,
            LongSupplier bodyLimit) {
        this.address = address;
        this.connections = new ConnectionLimiter(connectionLimit);
        this.ioExecutor = ioExecutor;
        this.listener = listener;
        this.bodyLimit = bodyLimit;
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
                                .appendLateConnectionAcceptor(connections)
                                .listenStreaming(this::handle),
                        address);
        if (stopping) {
            stopGracefully();
        }
    }

    /** Returns the address on which the started server listens, with the port that was chosen. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) context.listenAddress();
    }

    /**
     * Returns the number of requests that are being received or answered. It does not contain those
     * whose answers are complete except for bytes that the caller has yet to take.
     */
    public int inProgress() {
        return inProgress;
    }

    /**
     * Returns the number of connections on which bytes of an answer are still to be sent. Must be
     * called on the I/O thread.
     */
    public int sendingCount() {
        return connections.sendingCount();
    }

    @Override
    public void stop() {
        if (context != null) {
            context.closeAsync().subscribe();
        }
    }

    /**
     * Stops listening, closes idle connections and lets answers in progress finish. A server whose
     * start is not complete stops when it is.
     */
    public void stopGracefully() {
        stopping = true;
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
        Reception reception = new Reception(connection, request);
        DefaultForwardedCall call =
                new DefaultForwardedCall(
                        callCount, connection, request, factory, listener, reception, reception);
        reception.call = call;
        try {
            listener.onRequestHead(call);
        } catch (RuntimeException failure) {
            call.onProcessFailed(failure);
        }
        return call.response();
    }

    /** Reads or drops the body of a call, and goes on with the call when it has been received. */
    private final class Reception
            implements BodyReceiver.Listener, DefaultForwardedCall.Body, Runnable {
        private final HttpServiceContext connection;
        private final StreamingHttpRequest request;
        private final BodyReceiver receiver;
        private DefaultForwardedCall call;

        private Reception(HttpServiceContext connection, StreamingHttpRequest request) {
            this.connection = connection;
            this.request = request;
            this.receiver =
                    new BodyReceiver(
                            BodyReceiver.statedLength(request), longestBody(), bodyMemory, this);
        }

        private long longestBody() {
            return Math.min(ALL_BODIES_BYTES, bodyLimit.getAsLong());
        }

        @Override
        public void receive() {
            toSource(request.payloadBody()).subscribe(receiver);
        }

        @Override
        public boolean isShort() {
            if (awaitsPermission()) {
                return false;
            }
            OptionalLong length = BodyReceiver.statedLength(request);
            return length.isPresent()
                    ? length.getAsLong() <= SHORT_BODY_BYTES
                    : !request.headers().contains("transfer-encoding");
        }

        /** Returns whether the caller sends its body only if it is not refused. */
        private boolean awaitsPermission() {
            return request.headers().contains("expect");
        }

        @Override
        public void discard() {
            if (awaitsPermission()) {
                // Reading the body would send the permission.
                return;
            }
            // The timer must not keep the call with its headers in memory.
            HttpServiceContext usedConnection = connection;
            BodyDiscarder discarder =
                    new BodyDiscarder(longestBody(), () -> usedConnection.closeAsync().subscribe());
            toSource(request.payloadBody()).subscribe(discarder);
            ioExecutor.schedule(discarder::giveUp, DISCARD_TIME);
        }

        /** Ends the call. */
        @Override
        public void run() {
            inProgress--;
            receiver.release();
        }

        @Override
        public void onBodyWaiting() {
            ioExecutor.schedule(receiver::giveUpWaiting, MEMORY_WAIT);
        }

        @Override
        public void onBodyReceived(HttpBody body) {
            call.onBodyReceived(body);
            listener.onRequest(call);
        }

        @Override
        public void onBodyTooLong() {
            call.answer(TOO_LARGE, Map.of("connection", "close"), HttpBody.EMPTY);
        }

        @Override
        public void onBodyGivenUp() {
            call.answer(UNAVAILABLE, RETRY_SOON, HttpBody.EMPTY);
        }

        @Override
        public void onBodyFailed() {
            call.onBodyFailed();
        }
    }
}
