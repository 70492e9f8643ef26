package org.tarragonlug.caller;

import static io.servicetalk.http.api.HttpHeaderNames.CONTENT_TYPE;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.plainservice.ServiceAnswer;
import org.tarragonlug.runtime.Json;

/**
 * Writes an answer through ServiceTalk.
 *
 * <p>A streamed answer starts with its first token, so that an error before the first token still
 * gets its own HTTP status. When the buffer of a caller that does not read is full, the caller is
 * treated as disconnected.
 */
final class DefaultCallerAnswer implements CallerAnswer {
    private static final String JSON = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MILLIS_PER_SECOND = 1000;

    private final CallerRequest request;
    private final StreamingHttpResponseFactory factory;
    private final BufferAllocator allocator;
    private final Runnable disconnectAction;
    private final AnswerFormat format;
    private final CompletableFuture<StreamingHttpResponse> response = new CompletableFuture<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final StringBuilder collectedText = new StringBuilder();
    private StreamBuffer stream;
    private boolean closesConnection;

    DefaultCallerAnswer(
            CallerRequest request,
            StreamingHttpResponseFactory factory,
            BufferAllocator allocator,
            Runnable disconnectAction) {
        this.request = request;
        this.factory = factory;
        this.allocator = allocator;
        this.disconnectAction = disconnectAction;
        this.format = new AnswerFormat(request);
    }

    /**
     * Marks the answer as the last one on its connection, with a {@code connection: close} header.
     */
    void closeConnection() {
        closesConnection = true;
    }

    /** Returns the response. The library cancels it when the caller has disconnected. */
    Single<StreamingHttpResponse> response() {
        return Single.<StreamingHttpResponse>fromStage(response)
                .beforeCancel(this::onCallerDisconnected);
    }

    /** Ends the answer because the caller has disconnected, and runs the disconnect action. */
    void onCallerDisconnected() {
        if (ended.compareAndSet(false, true)) {
            disconnectAction.run();
        }
    }

    @Override
    public void addToken(String text) {
        if (ended.get()) {
            return;
        }
        if (request.streaming()) {
            emit(format.tokenEvent(text));
        } else {
            collectedText.append(text);
        }
    }

    @Override
    public void complete(int tokens, String checksum) {
        if (request.streaming()) {
            emit(format.endEvents(tokens, checksum));
            endStream();
        } else if (ended.compareAndSet(false, true)) {
            ObjectNode answer = format.completeAnswer(collectedText.toString(), tokens, checksum);
            respond(HttpResponseStatus.OK, answer, Optional.empty());
        }
    }

    @Override
    public void sendServiceAnswer(ServiceAnswer answer) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        StreamingHttpResponse message =
                factory.newResponse(HttpResponseStatus.of(answer.status(), ""));
        answer.headers().forEach(message::setHeader);
        message.setHeader("x-request-id", request.id().value());
        message.payloadBody(Publisher.from(allocator.wrap(answer.body())));
        response.complete(message);
    }

    @Override
    public void refuse(
            ErrorCode code, Execution execution, Optional<Duration> retryAfter, String detail) {
        ObjectNode error = format.error(code, execution, retryAfter, detail);
        if (stream != null) {
            emit(format.errorEvent(error));
            endStream();
        } else if (ended.compareAndSet(false, true)) {
            respond(HttpResponseStatus.of(code.status(), ""), error, retryAfter);
        }
    }

    private void respond(
            HttpResponseStatus status, ObjectNode content, Optional<Duration> retryAfter) {
        StreamingHttpResponse message = factory.newResponse(status);
        message.setHeader(CONTENT_TYPE, JSON);
        message.setHeader("x-request-id", request.id().value());
        if (closesConnection) {
            message.setHeader("connection", "close");
        }
        retryAfter.ifPresent(time -> message.setHeader("retry-after", seconds(time)));
        message.payloadBody(Publisher.from(allocator.wrap(Json.bytes(content))));
        response.complete(message);
    }

    private static String seconds(Duration time) {
        // Rounded up, because a retry that comes too early is only refused again.
        long seconds = (time.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return Long.toString(Math.max(1, seconds));
    }

    private void emit(String event) {
        if (ended.get()) {
            return;
        }
        if (stream == null) {
            startStream();
        }
        try {
            stream.add(allocator.fromUtf8(event));
        } catch (IOException bufferFull) {
            onCallerDisconnected();
            stream.breakOff(bufferFull);
        }
    }

    private void startStream() {
        stream = new StreamBuffer();
        StreamingHttpResponse message = factory.ok();
        message.setHeader(CONTENT_TYPE, EVENT_STREAM);
        message.setHeader("cache-control", "no-cache");
        message.setHeader("x-request-id", request.id().value());
        message.payloadBody(stream.events().beforeCancel(this::onCallerDisconnected));
        response.complete(message);
    }

    private void endStream() {
        if (ended.compareAndSet(false, true)) {
            stream.complete();
        }
    }
}
