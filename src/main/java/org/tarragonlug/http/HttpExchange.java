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
    private static final Set<String> WITH_BODY = Set.of("POST", "PUT", "PATCH");
    private static final char LAST_CONTROL = 0x1f;
    private static final char DELETE = 0x7f;

    private final HttpCall call;
    private final ClientLease lease;
    private final HttpReceiver receiver;
    private final int maximumBytes;
    private ReservedStreamingHttpConnection connection;
    private Cancellable current = Cancellable.IGNORE_CANCEL;
    private Future<?> timer;
    private long received;
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
                timer = timers.schedule(this::timedOut, nanos, TimeUnit.NANOSECONDS);
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
                            requirePrintable(value, LAST_CONTROL);
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
        } else if (WITH_BODY.contains(call.method())) {
            request.setHeader("content-length", "0");
        }
        return request;
    }

    private static void requirePrintable(String text, char highestForbidden) {
        boolean tabsAllowed = highestForbidden == LAST_CONTROL;
        boolean wrong =
                text.chars()
                        .anyMatch(
                                c ->
                                        c == DELETE
                                                || c <= highestForbidden
                                                        && !(tabsAllowed && c == '\t'));
        if (wrong) {
            throw new IllegalArgumentException("a control character or blank");
        }
    }

    private void send(ReservedStreamingHttpConnection reserved, StreamingHttpRequest request) {
        synchronized (this) {
            if (ended) {
                toSource(reserved.releaseAsync()).subscribe(IgnoredEnd.INSTANCE);
                return;
            }
            connection = reserved;
        }
        toSource(reserved.request(request))
                .subscribe(new Step<StreamingHttpResponse>(this::receive, false));
    }

    private void receive(StreamingHttpResponse response) {
        synchronized (this) {
            if (!ended) {
                Map<String, String> headers = new HashMap<>();
                response.headers()
                        .forEach(
                                header ->
                                        headers.put(
                                                header.getKey().toString().toLowerCase(Locale.ROOT),
                                                header.getValue().toString()));
                receiver.head(response.status().code(), headers);
            }
        }
        // Subscribed even when ended: the cancellation there closes the connection.
        toSource(response.payloadBody()).subscribe(new Body());
    }

    private synchronized void data(Buffer buffer) {
        if (ended) {
            return;
        }
        received += buffer.readableBytes();
        if (received > maximumBytes) {
            String detail = "the answer exceeds " + maximumBytes + " bytes";
            fail(HttpFailure.Kind.ANSWER_TOO_LARGE, detail, null);
            return;
        }
        byte[] part = new byte[buffer.readableBytes()];
        buffer.readBytes(part);
        receiver.data(part);
    }

    private synchronized void complete() {
        if (ended) {
            return;
        }
        ended = true;
        timer.cancel(false);
        toSource(connection.releaseAsync()).subscribe(IgnoredEnd.INSTANCE);
        lease.end();
        receiver.completed();
    }

    private synchronized void timedOut() {
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

    private synchronized void broken(Throwable cause) {
        if (cause instanceof RetryableException && received == 0) {
            fail(HttpFailure.Kind.NOT_SENT, "the connection was already closed", cause);
        } else if (cause instanceof java.io.IOException) {
            fail(HttpFailure.Kind.CONNECTION_LOST, "the connection broke: " + cause, cause);
        } else {
            fail(HttpFailure.Kind.ANSWER_INVALID, "the answer cannot be read: " + cause, cause);
        }
    }

    private synchronized void fail(HttpFailure.Kind kind, String detail, Throwable cause) {
        if (stop()) {
            receiver.failed(new HttpFailure(kind, detail, cause));
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
    public void cancelSilent() {
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
        current.cancel();
        if (connection != null) {
            toSource(connection.closeAsync()).subscribe(IgnoredEnd.INSTANCE);
        }
        lease.end();
        return true;
    }

    private synchronized void proceed(Cancellable next) {
        current = next;
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
            proceed(cancellable);
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
                broken(cause);
            }
        }
    }

    /** Passes the body on. */
    private final class Body implements PublisherSource.Subscriber<Buffer> {
        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            proceed(subscription);
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(Buffer buffer) {
            data(buffer);
        }

        @Override
        public void onError(Throwable cause) {
            broken(cause);
        }

        @Override
        public void onComplete() {
            complete();
        }
    }
}
