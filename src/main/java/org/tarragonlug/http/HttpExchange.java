package org.tarragonlug.http;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One HTTP call in progress.
 *
 * <p>A connection is reserved first and the request is sent on it afterwards. A failure of the
 * reservation therefore means that nothing was sent, and any later failure that it may have been.
 * The only later failures that still mean "not sent" are those that the library marks as {@link
 * RetryableException}, which it does only when nothing was written. After a failure or a
 * cancellation the connection is closed, never reused.
 */
public final class HttpExchange {
    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");
    private static final char HIGHEST_CONTROL_CHARACTER = 0x1f;
    private static final char DELETE_CHARACTER = 0x7f;

    private final HttpCall call;
    private final ClientLease lease;
    private final HttpReceiver receiver;
    private final int maximumBytes;
    private ReservedStreamingHttpConnection connection;
    private Cancellable currentStep = Cancellable.IGNORE_CANCEL;
    private Future<?> timer;
    private long receivedBytes;
    private boolean ended;

    HttpExchange(HttpCall call, ClientLease lease, HttpReceiver receiver, int maximumBytes) {
        this.call = call;
        this.lease = lease;
        this.receiver = receiver;
        this.maximumBytes = maximumBytes;
    }

    void start(ScheduledExecutorService timers) {
        synchronized (this) {
            try {
                long nanos = call.timeout().toNanos();
                timer = timers.schedule(this::handleTimeout, nanos, TimeUnit.NANOSECONDS);
            } catch (RejectedExecutionException e) {
                fail(HttpFailure.Kind.NOT_SENT, "the timers are stopped", e);
                return;
            }
        }
        StreamingHttpRequest request;
        try {
            request = request();
        } catch (IllegalArgumentException e) {
            fail(HttpFailure.Kind.NOT_SENT, "the request is not valid HTTP: " + e.getMessage(), e);
            return;
        }
        toSource(lease.client().reserveConnection(request))
                .subscribe(
                        new Step<ReservedStreamingHttpConnection>(
                                reserved -> send(reserved, request), true));
    }

    /** Returns the request; refuses line breaks, which would start another header or request. */
    private StreamingHttpRequest request() {
        requirePrintable(call.target(), ' ');
        call.headers()
                .forEach(
                        (name, value) -> {
                            requirePrintable(name, ' ');
                            requirePrintable(value, HIGHEST_CONTROL_CHARACTER);
                        });
        StreamingHttpRequest request =
                lease.client()
                        .newRequest(
                                HttpRequestMethod.of(
                                        call.method(), HttpRequestMethod.Properties.NONE),
                                call.target());
        call.headers().forEach(request::setHeader);
        if (call.body().length > 0) {
            Buffer body = lease.client().executionContext().bufferAllocator().wrap(call.body());
            request.setHeader("content-length", Integer.toString(call.body().length));
            request.payloadBody(Publisher.from(body));
        } else if (METHODS_WITH_BODY.contains(call.method())) {
            request.setHeader("content-length", "0");
        }
        return request;
    }

    private static void requirePrintable(String text, char highestForbidden) {
        boolean tabsAllowed = highestForbidden == HIGHEST_CONTROL_CHARACTER;
        boolean forbidden =
                text.chars()
                        .anyMatch(
                                c ->
                                        c == DELETE_CHARACTER
                                                || c <= highestForbidden
                                                        && !(tabsAllowed && c == '\t'));
        if (forbidden) {
            throw new IllegalArgumentException("a control character or blank");
        }
    }

    private void send(ReservedStreamingHttpConnection reserved, StreamingHttpRequest request) {
        synchronized (this) {
            if (ended) {
                toSource(reserved.releaseAsync()).subscribe(IgnoredCompletion.INSTANCE);
                return;
            }
            connection = reserved;
        }
        toSource(reserved.request(request))
                .subscribe(new Step<StreamingHttpResponse>(this::handleHead, false));
    }

    private void handleHead(StreamingHttpResponse response) {
        synchronized (this) {
            if (!ended) {
                Map<String, String> headers = new HashMap<>();
                response.headers()
                        .forEach(
                                header ->
                                        headers.put(
                                                header.getKey().toString().toLowerCase(Locale.ROOT),
                                                header.getValue().toString()));
                receiver.onHead(response.status().code(), headers);
            }
        }
        // Subscribed even when ended: the cancellation there closes the connection.
        toSource(response.payloadBody()).subscribe(new Body());
    }

    private synchronized void handleData(Buffer buffer) {
        if (ended) {
            return;
        }
        receivedBytes += buffer.readableBytes();
        if (receivedBytes > maximumBytes) {
            String detail = "the answer exceeds " + maximumBytes + " bytes";
            fail(HttpFailure.Kind.ANSWER_TOO_LARGE, detail, null);
            return;
        }
        byte[] part = new byte[buffer.readableBytes()];
        buffer.readBytes(part);
        receiver.onData(part);
    }

    private synchronized void handleEnd() {
        if (ended) {
            return;
        }
        ended = true;
        timer.cancel(false);
        toSource(connection.releaseAsync()).subscribe(IgnoredCompletion.INSTANCE);
        lease.release();
        receiver.onCompleted();
    }

    private synchronized void handleTimeout() {
        if (ended) {
            return;
        }
        if (connection == null) {
            fail(HttpFailure.Kind.NOT_SENT, "no connection within " + call.timeout(), null);
            return;
        }
        lease.retire();
        fail(HttpFailure.Kind.TIMED_OUT, "no whole answer within " + call.timeout(), null);
    }

    private synchronized void handleConnectionFailure(Throwable cause) {
        if (cause instanceof RetryableException && receivedBytes == 0) {
            fail(HttpFailure.Kind.NOT_SENT, "the connection was already closed", cause);
        } else if (cause instanceof java.io.IOException) {
            fail(HttpFailure.Kind.CONNECTION_LOST, "the connection broke: " + cause, cause);
        } else {
            fail(HttpFailure.Kind.ANSWER_INVALID, "the answer cannot be read: " + cause, cause);
        }
    }

    private synchronized void fail(HttpFailure.Kind kind, String detail, Throwable cause) {
        if (stop()) {
            receiver.onFailed(new HttpFailure(kind, detail, cause));
        }
    }

    /** Closes the connection; the receiver is not called again after this returns. */
    public void cancel() {
        stop();
    }

    /**
     * Closes the connection as {@link #cancel} does, and all idle ones to the same address, because
     * this one became silent.
     */
    public void cancelAsSilent() {
        if (stop()) {
            lease.retire();
        }
    }

    private synchronized boolean stop() {
        if (ended) {
            return false;
        }
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        currentStep.cancel();
        if (connection != null) {
            toSource(connection.closeAsync()).subscribe(IgnoredCompletion.INSTANCE);
        }
        lease.release();
        return true;
    }

    private synchronized void setCurrentStep(Cancellable next) {
        currentStep = next;
        if (ended) {
            next.cancel();
        }
    }

    /** Waits for a connection or for the head of the answer. */
    private final class Step<T> implements SingleSource.Subscriber<T> {
        private final Consumer<T> next;
        private final boolean beforeSending;

        Step(Consumer<T> next, boolean beforeSending) {
            this.next = next;
            this.beforeSending = beforeSending;
        }

        @Override
        public void onSubscribe(Cancellable cancellable) {
            setCurrentStep(cancellable);
        }

        @Override
        public void onSuccess(T value) {
            next.accept(value);
        }

        @Override
        public void onError(Throwable cause) {
            if (beforeSending) {
                fail(HttpFailure.Kind.NOT_SENT, "the connection failed: " + cause, cause);
            } else {
                handleConnectionFailure(cause);
            }
        }
    }

    /** Passes the body on. */
    private final class Body implements PublisherSource.Subscriber<Buffer> {
        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            setCurrentStep(subscription);
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(Buffer buffer) {
            handleData(buffer);
        }

        @Override
        public void onError(Throwable cause) {
            handleConnectionFailure(cause);
        }

        @Override
        public void onComplete() {
            handleEnd();
        }
    }
}
