package org.tarragonlug.standin;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServerContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP server on loopback. It can be stopped, restarted at the same address, and made to stop
 * answering on its open connections.
 */
final class StandInServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
    private static final int CLOSE_TIMEOUT_SECONDS = 5;

    private final IoExecutor ioExecutor;
    private final StandInHandler handler;
    private final Set<SocketAddress> openConnections = ConcurrentHashMap.newKeySet();
    private final Set<SocketAddress> silentConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger usedConnections = new AtomicInteger();
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private ServerContext context;

    StandInServer(IoExecutor ioExecutor, StandInHandler handler) {
        this.ioExecutor = ioExecutor;
        this.handler = handler;
    }

    /** Starts listening. Blocks, so it must not be called on an I/O thread. */
    synchronized StandInServer start() {
        try {
            context =
                    HttpServers.forAddress(address)
                            .ioExecutor(ioExecutor)
                            .executionStrategy(HttpExecutionStrategies.offloadNone())
                            .listenStreamingAndAwait(this::serve);
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen on " + address, e);
        }
        address = (InetSocketAddress) context.listenAddress();
        return this;
    }

    synchronized InetSocketAddress address() {
        return address;
    }

    /**
     * Closes the listening socket and all connections at once, as the loss of a process does.
     * Blocks, so it must not be called on an I/O thread.
     */
    synchronized void stop() {
        if (context != null) {
            try {
                context.closeAsync().toFuture().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException | TimeoutException e) {
                throw new IllegalStateException("cannot close " + address, e);
            }
            context = null;
            openConnections.clear();
            silentConnections.clear();
        }
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops answering on all open connections; new connections work. */
    void silenceOpenConnections() {
        silentConnections.addAll(openConnections);
    }

    /** Returns the number of connections on which requests have arrived since the start. */
    int usedConnections() {
        return usedConnections.get();
    }

    boolean isSilent(SocketAddress connection) {
        return silentConnections.contains(connection);
    }

    private Single<StreamingHttpResponse> serve(
            HttpServiceContext connection,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        SocketAddress remote = connection.remoteAddress();
        if (openConnections.add(remote)) {
            usedConnections.incrementAndGet();
            connection
                    .onClose()
                    .whenFinally(
                            () -> {
                                openConnections.remove(remote);
                                silentConnections.remove(remote);
                            })
                    .subscribe();
        }
        return request.toRequest()
                .flatMap(fullRequest -> answer(connection, fullRequest))
                .map(reply -> respond(connection, responses, reply));
    }

    private Single<StandInReply> answer(HttpServiceContext connection, HttpRequest request) {
        if (request.payloadBody().readableBytes() > MAXIMUM_BODY_BYTES) {
            return Single.succeeded(StandInReply.empty(413));
        }
        SocketAddress remote = connection.remoteAddress();
        if (isSilent(remote)) {
            return Single.never();
        }
        CompletionStage<StandInReply> reply = handler.handle(convert(connection, request));
        CompletableFuture<StandInReply> replyUnlessSilent = new CompletableFuture<>();
        reply.whenComplete(
                (value, cause) -> {
                    if (cause != null) {
                        replyUnlessSilent.completeExceptionally(cause);
                    } else if (!isSilent(remote)) {
                        replyUnlessSilent.complete(value);
                    }
                });
        return Single.fromStage(replyUnlessSilent);
    }

    private static StandInRequest convert(HttpServiceContext connection, HttpRequest request) {
        List<String> path = new ArrayList<>();
        for (String segment : request.rawPath().split("/")) {
            if (!segment.isEmpty()) {
                path.add(URLDecoder.decode(segment, StandardCharsets.UTF_8));
            }
        }
        Map<String, String> query = new HashMap<>();
        request.queryParameters()
                .forEach(entry -> query.putIfAbsent(entry.getKey(), entry.getValue()));
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        entry ->
                                headers.put(
                                        entry.getKey().toString().toLowerCase(Locale.ROOT),
                                        entry.getValue().toString()));
        Buffer payload = request.payloadBody();
        byte[] body = new byte[payload.readableBytes()];
        payload.readBytes(body);
        return new StandInRequest(
                request.method().name(),
                path,
                query,
                headers,
                body,
                connection.remoteAddress(),
                () -> toSource(connection.closeAsync()).subscribe(new IgnoringSubscriber()));
    }

    private static StreamingHttpResponse respond(
            HttpServiceContext connection,
            StreamingHttpResponseFactory responses,
            StandInReply reply) {
        StreamingHttpResponse response =
                responses.newResponse(HttpResponseStatus.of(reply.status(), ""));
        reply.headers().forEach(response::setHeader);
        Publisher<Buffer> body =
                reply.body()
                        .map(part -> connection.executionContext().bufferAllocator().wrap(part));
        return response.payloadBody(body);
    }
}
