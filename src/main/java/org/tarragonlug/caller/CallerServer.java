package org.tarragonlug.caller;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Publisher;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.ServerStart;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.Settings;
import org.tarragonlug.runtime.SupervisedPart;

/**
 * Serves callers over HTTP.
 *
 * <p>The server enforces the limits on headers, body size, request time and connections before a
 * request reaches the listener. A request that exceeds a limit is answered with a typed error; a
 * connection above the limit is closed.
 */
public final class CallerServer implements SupervisedPart {
    /**
     * Longer than the deadline of any route, so that the timeout closes only connections without a
     * request in progress.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(30);

    private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

    /** Bodies of the allowed size that may be in memory at once. */
    private static final long BODIES_IN_MEMORY = 2;

    private final InetSocketAddress address;
    private final Settings.Limits limits;
    private final IoExecutor ioExecutor;
    private final CallerListener listener;
    private final String requestIdPrefix;
    private final BodyMemory bodyMemory;
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicInteger inProgress = new AtomicInteger();
    private HttpServerContext context;

    /**
     * Creates the server without listening.
     *
     * @param address address to listen on; port 0 chooses a free port
     * @param limits limits for requests and connections of callers
     * @param ioExecutor executor of the connections; not closed here
     * @param listener receives the requests
     * @param requestIdPrefix prefix that makes request ids unique among processes
     */
    public CallerServer(
            InetSocketAddress address,
            Settings.Limits limits,
            IoExecutor ioExecutor,
            CallerListener listener,
            String requestIdPrefix) {
        this.address = address;
        this.limits = limits;
        this.ioExecutor = ioExecutor;
        this.listener = listener;
        this.requestIdPrefix = requestIdPrefix;
        this.bodyMemory = new BodyMemory(BODIES_IN_MEMORY * limits.bodyBytes());
    }

    @Override
    public String name() {
        return "caller-server";
    }

    @Override
    public void start() throws TarragonlugException {
        ConnectionLimiter connectionLimit = new ConnectionLimiter(limits.connections());
        context =
                ServerStart.await(
                        HttpServers.forAddress(address)
                                .ioExecutor(ioExecutor)
                                .drainRequestPayloadBody(false)
                                .executionStrategy(HttpExecutionStrategies.offloadNone())
                                .protocols(
                                        HttpProtocolConfigs.h1()
                                                .maxHeaderFieldLength(limits.headerBytes())
                                                .maxStartLineLength(limits.headerBytes())
                                                .build())
                                .socketOption(
                                        ServiceTalkSocketOptions.IDLE_TIMEOUT,
                                        IDLE_TIMEOUT.toMillis())
                                .appendLateConnectionAcceptor(connectionLimit)
                                .listenStreaming(this::handle),
                        address);
    }

    /** Returns the address on which the started server listens, with the port that was chosen. */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) context.listenAddress();
    }

    /**
     * Returns the number of requests that are being received, are waiting or are being answered.
     */
    public int inProgress() {
        return inProgress.get();
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
        RequestId id = new RequestId(requestIdPrefix + "-" + requestCount.incrementAndGet());
        Exchange exchange = new Exchange(connection, request, factory, id);
        inProgress.incrementAndGet();
        return exchange.response();
    }

    /** One request being received and answered. */
    private final class Exchange implements BodyReceiver.Listener {
        private final HttpServiceContext connection;
        private final StreamingHttpRequest request;
        private final StreamingHttpResponseFactory factory;
        private final RequestId id;
        private final Optional<ConnectionGuard> guard;
        private final AtomicBoolean refusedOrDelivered = new AtomicBoolean();
        private final AtomicBoolean counted = new AtomicBoolean(true);
        private final CompletableFuture<DefaultCallerAnswer> answer = new CompletableFuture<>();
        private final Runnable closeAction = this::onCallerClosed;
        private final BodyReceiver receiver;
        private Cancellable deadline = Cancellable.IGNORE_CANCEL;
        private long receivedBytes;
        private volatile boolean closesConnection;

        Exchange(
                HttpServiceContext connection,
                StreamingHttpRequest request,
                StreamingHttpResponseFactory factory,
                RequestId id) {
            this.connection = connection;
            this.request = request;
            this.factory = factory;
            this.id = id;
            this.guard = ConnectionGuard.of(connection);
            this.receiver =
                    new BodyReceiver(
                            BodyReceiver.statedLength(request),
                            limits.bodyBytes(),
                            bodyMemory,
                            this);
        }

        Single<StreamingHttpResponse> response() {
            guard.ifPresent(present -> present.add(closeAction));
            deadline =
                    ioExecutor.schedule(
                            () ->
                                    refuse(
                                            ErrorCode.REQUEST_TIMEOUT,
                                            "the request was not received within "
                                                    + limits.requestTime()),
                            limits.requestTime());
            // The body is read independently of the answer. If the refusal of a slow or large body
            // cancelled the reading, the connection would be closed before the refusal is written.
            toSource(request.payloadBody().beforeOnNext(this::checkLength)).subscribe(receiver);
            return Single.fromStage(answer)
                    .flatMap(DefaultCallerAnswer::response)
                    .map(message -> message.transformMessageBody(this::observeEnd))
                    .beforeCancel(this::end)
                    .beforeOnError(failure -> end());
        }

        private void checkLength(Buffer buffer) {
            receivedBytes += buffer.readableBytes();
            if (receivedBytes > limits.bodyBytes()) {
                onBodyTooLong();
            }
        }

        @Override
        public void onBodyWaiting() {
            // The time for receiving the request ends the wait.
        }

        @Override
        public void onBodyTooLong() {
            deadline.cancel();
            refuse(ErrorCode.BODY_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes");
        }

        @Override
        public void onBodyGivenUp() {
            throw new IllegalStateException("bodies are given up by their deadline only");
        }

        @Override
        public void onBodyFailed() {
            deadline.cancel();
            end();
        }

        private Publisher<?> observeEnd(Publisher<?> body) {
            return body.beforeFinally(this::end);
        }

        private void end() {
            receiver.release();
            guard.ifPresent(present -> present.remove(closeAction));
            if (counted.compareAndSet(true, false)) {
                inProgress.decrementAndGet();
            }
            if (closesConnection) {
                // The library waits for the rest of the request, which may never arrive, so the
                // connection is closed here. The delay lets the caller read the refusal before the
                // connection is reset.
                ioExecutor.schedule(() -> connection.closeAsync().subscribe(), CLOSE_DELAY);
            }
        }

        private void onCallerClosed() {
            end();
            DefaultCallerAnswer startedAnswer = answer.getNow(null);
            if (startedAnswer != null) {
                startedAnswer.onCallerDisconnected();
            }
        }

        private void refuse(ErrorCode code, String detail) {
            if (!refusedOrDelivered.compareAndSet(false, true)) {
                return;
            }
            CallerRequest refused = callerRequest(request, id, new byte[0], Optional.empty());
            DefaultCallerAnswer refusal = newAnswer(connection, refused, factory, () -> {});
            listener.onRefused(code);
            closesConnection = true;
            // The rest of the request is not read, so the connection cannot be reused.
            refusal.closeConnection();
            refusal.refuse(code, Execution.NOT_RUN, Optional.empty(), detail);
            answer.complete(refusal);
        }

        @Override
        public void onBodyReceived(HttpBody body) {
            deadline.cancel();
            byte[] bytes = body.toByteArray();
            if (!request.path().startsWith(CallerRequest.MODEL_PATH_PREFIX) || bytes.length == 0) {
                deliver(bytes, Optional.empty());
                return;
            }
            try {
                JsonNode json = Json.read(bytes);
                String error = RequestBodyValidator.findError(json);
                if (error.isEmpty()) {
                    deliver(bytes, Optional.of(json));
                } else {
                    refuse(ErrorCode.BAD_REQUEST, error);
                }
            } catch (IOException malformed) {
                refuse(ErrorCode.BAD_REQUEST, "the body is not valid JSON");
            }
        }

        private void deliver(byte[] bytes, Optional<JsonNode> json) {
            if (!refusedOrDelivered.compareAndSet(false, true)) {
                return;
            }
            CallerRequest complete = callerRequest(request, id, bytes, json);
            DefaultCallerAnswer startedAnswer =
                    newAnswer(
                            connection,
                            complete,
                            factory,
                            () -> listener.onCallerDisconnected(complete));
            answer.complete(startedAnswer);
            listener.onRequest(complete, startedAnswer);
        }
    }

    private static DefaultCallerAnswer newAnswer(
            HttpServiceContext connection,
            CallerRequest request,
            StreamingHttpResponseFactory factory,
            Runnable disconnectAction) {
        return new DefaultCallerAnswer(
                request,
                factory,
                connection.executionContext().bufferAllocator(),
                disconnectAction);
    }

    private static CallerRequest callerRequest(
            StreamingHttpRequest request, RequestId id, byte[] body, Optional<JsonNode> json) {
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        header ->
                                headers.put(
                                        header.getKey().toString().toLowerCase(Locale.ROOT),
                                        header.getValue().toString()));
        String query = request.rawQuery();
        return new CallerRequest(
                id,
                request.method().name(),
                request.path(),
                query == null ? "" : query,
                headers,
                body,
                json);
    }
}
