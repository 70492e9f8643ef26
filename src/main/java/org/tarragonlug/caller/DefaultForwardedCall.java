package org.tarragonlug.caller;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tarragonlug.http.BodyBuffers;
import org.tarragonlug.http.HttpBody;

/** A forwarded request on a ServiceTalk connection; used only on the thread of the connection. */
final class DefaultForwardedCall implements ForwardedCall {
    /** The body of the request, of which one method is called once. */
    interface Body {
        /** Reads the body for the call. */
        void receive();

        /** Returns whether the connection can be used further after the body is dropped. */
        boolean isShort();

        /** Reads the body and drops it. */
        void discard();
    }

    private final long key;
    private final HttpServiceContext connection;
    private final StreamingHttpRequest request;
    private final StreamingHttpResponseFactory factory;
    private final ForwardedCallListener listener;
    private final Body requestBody;
    private final Runnable endAction;
    private final Map<String, String> headers = new HashMap<>();
    private Set<String> repeatedHeaders = Set.of();
    private final CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
    private final Optional<ConnectionGuard> guard;
    private final Runnable disconnectAction = this::onCallerDisconnected;
    private HttpBody body = HttpBody.EMPTY;
    private boolean bodyTaken;
    private boolean delivered;
    private boolean answered;
    private boolean inProgress = true;
    private StreamBuffer stream;

    DefaultForwardedCall(
            long key,
            HttpServiceContext connection,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory,
            ForwardedCallListener listener,
            Body requestBody,
            Runnable endAction) {
        this.key = key;
        this.connection = connection;
        this.request = request;
        this.factory = factory;
        this.listener = listener;
        this.requestBody = requestBody;
        this.endAction = endAction;
        this.guard = ConnectionGuard.of(connection);
        request.headers()
                .forEach(
                        header ->
                                addHeader(
                                        header.getKey().toString().toLowerCase(Locale.ROOT),
                                        header.getValue().toString()));
        guard.ifPresent(present -> present.add(disconnectAction));
    }

    private void addHeader(String name, String value) {
        if (headers.put(name, value) != null) {
            repeatedHeaders = new HashSet<>(repeatedHeaders);
            repeatedHeaders.add(name);
        }
    }

    Single<StreamingHttpResponse> response() {
        return Single.<StreamingHttpResponse>fromStage(response)
                .map(message -> message.transformMessageBody(each -> each.beforeFinally(this::end)))
                .beforeCancel(this::onCallerDisconnected)
                .beforeOnError(failure -> end());
    }

    void onBodyReceived(HttpBody received) {
        body = received;
        delivered = true;
    }

    /** Fails the call because the request body could not be received completely. */
    void onBodyFailed() {
        answered = true;
        end();
        response.completeExceptionally(
                new IOException("the connection broke before the request was complete"));
    }

    /**
     * Fails the call because this process failed. The library chooses the status by the type of the
     * failure, and for some types one that tells the caller that its request has not run. That is
     * not known, so the library sees a failure of a type for which it answers 500.
     */
    void onProcessFailed(RuntimeException failure) {
        answered = true;
        end();
        response.completeExceptionally(new IOException("the process failed", failure));
    }

    private void onCallerDisconnected() {
        boolean unanswered = !answered;
        answered = true;
        end();
        if (unanswered && delivered) {
            listener.onCallerDisconnected(this);
        }
    }

    private void end() {
        if (inProgress) {
            inProgress = false;
            body = HttpBody.EMPTY;
            guard.ifPresent(present -> present.remove(disconnectAction));
            endAction.run();
        }
    }

    @Override
    public long key() {
        return key;
    }

    @Override
    public String method() {
        return request.method().name();
    }

    @Override
    public String target() {
        return request.requestTarget();
    }

    @Override
    public String path() {
        return request.rawPath();
    }

    @Override
    public Map<String, String> headers() {
        return headers;
    }

    @Override
    public Set<String> repeatedHeaders() {
        return repeatedHeaders;
    }

    @Override
    public void receiveBody() {
        if (!bodyTaken && inProgress) {
            bodyTaken = true;
            requestBody.receive();
        }
    }

    @Override
    public HttpBody body() {
        return body;
    }

    @Override
    public void answer(int status, Map<String, String> answerHeaders, HttpBody content) {
        if (answered) {
            return;
        }
        answered = true;
        StreamingHttpResponse message = newResponse(status, answerHeaders);
        message.setHeader("content-length", Integer.toString(content.length()));
        if (content.length() > 0) {
            message.payloadBody(Publisher.fromIterable(BodyBuffers.wrap(content, allocator())));
        }
        boolean bodyDropped = !bodyTaken;
        bodyTaken = true;
        if (bodyDropped && !requestBody.isShort()) {
            message.setHeader("connection", "close");
        }
        response.complete(message);
        if (bodyDropped) {
            requestBody.discard();
        }
    }

    @Override
    public void startStream(int status, Map<String, String> answerHeaders) {
        if (answered || stream != null) {
            return;
        }
        stream = new StreamBuffer();
        StreamingHttpResponse message = newResponse(status, answerHeaders);
        message.payloadBody(stream.events().beforeCancel(this::onCallerDisconnected));
        response.complete(message);
    }

    private StreamingHttpResponse newResponse(int status, Map<String, String> answerHeaders) {
        StreamingHttpResponse message = factory.newResponse(HttpResponseStatus.of(status, ""));
        answerHeaders.forEach(message::setHeader);
        return message;
    }

    private BufferAllocator allocator() {
        return connection.executionContext().bufferAllocator();
    }

    @Override
    public void writeToStream(byte[] bytes) {
        if (answered) {
            return;
        }
        try {
            stream.add(allocator().wrap(bytes));
        } catch (IOException bufferFull) {
            onCallerDisconnected();
            stream.breakOff(bufferFull);
        }
    }

    @Override
    public void endStream() {
        if (!answered) {
            answered = true;
            stream.complete();
        }
    }

    @Override
    public void abort() {
        if (answered) {
            return;
        }
        answered = true;
        if (stream != null) {
            stream.breakOff(new IOException("the stream of the server broke"));
        } else {
            response.completeExceptionally(new IOException("the server gave no answer"));
        }
        end();
        connection.closeAsync().subscribe();
    }
}
