package org.tarragonlug.http;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One HTTP call in progress.
 *
 * <p>A connection is reserved first, and then the request is sent on it. If the reservation fails,
 * the request was certainly not sent. After any later failure the request may have been sent. The
 * only exceptions are failures that the library marks as {@link RetryableException}: it does so
 * only when nothing was written, so they also mean "not sent". After a failure or a cancellation
 * the connection is closed and never reused.
 *
 * <p>A call that the reserved connection has carried before is sent on a new connection instead.
 *
 * <p>An answer whose body contains the head of a second answer to the same call is invalid ({@link
 * SecondHeadFinder}). If the body ends within what may be such a head, the end is held back until
 * the bytes after it decide, or for a short time.
 */
public final class HttpExchange {
    /**
     * Time to wait for the rest of a head that may begin at the end of a body, for each byte of the
     * body that agrees with one. The server has already begun to send that head, so only the
     * transport delays the rest; and one agreeing byte often stands there by chance.
     */
    private static final Duration SECOND_HEAD_WAIT_PER_BYTE = Duration.ofMillis(50);

    private static final Duration LONGEST_SECOND_HEAD_WAIT = Duration.ofMillis(250);

    /** Bytes with which a head begins that hardly stand at the end of a body by chance. */
    private static final int TELLING_HEAD_BYTES = "HTTP/".length();

    private final HttpCall call;
    private final Supplier<ClientLease> newConnections;
    private final HttpReceiver receiver;
    private final int maximumBytes;
    private final HeldBytes heldByAll;
    private final Consumer<LateAnswer> lateAnswers;
    private final Optional<SecondHeadFinder> secondHead;
    private ClientLease lease;
    private boolean movedToNewConnection;
    private ReservedStreamingHttpConnection connection;
    private FramingGuard guard;
    private Cancellable currentStep = Cancellable.IGNORE_CANCEL;
    private Future<?> timer;
    private long receivedBytes;
    private long heldBytes;
    private boolean endsConnection;
    private boolean unnamed;
    private boolean ended;

    /**
     * Creates a call that is not started.
     *
     * @param call the call
     * @param lease the client whose connections are used first
     * @param newConnections supplies clients that open a new connection for one call
     * @param receiver receives the answer
     * @param maximumBytes largest answer
     * @param heldByAll limits what all calls keep of incomplete answers
     * @param lateAnswers receives answers that come while no call is in progress
     */
    HttpExchange(
            HttpCall call,
            ClientLease lease,
            Supplier<ClientLease> newConnections,
            HttpReceiver receiver,
            int maximumBytes,
            HeldBytes heldByAll,
            Consumer<LateAnswer> lateAnswers) {
        this.call = call;
        this.lease = lease;
        this.newConnections = newConnections;
        this.receiver = receiver;
        this.maximumBytes = maximumBytes;
        this.heldByAll = heldByAll;
        this.lateAnswers = lateAnswers;
        secondHead = call.answerName().map(SecondHeadFinder::new);
    }

    void start(ScheduledExecutorService timers) {
        synchronized (this) {
            try {
                long nanos = call.timeout().toNanos();
                timer = timers.schedule(this::handleTimeout, nanos, TimeUnit.NANOSECONDS);
            } catch (RejectedExecutionException e) {
                fail(
                        HttpFailure.Kind.NOT_SENT,
                        "the call was not started because the timers are stopped",
                        e);
                return;
            }
        }
        reserveConnection();
    }

    private void reserveConnection() {
        StreamingHttpRequest request;
        try {
            request = RequestEncoder.encode(call, lease.client(), this::handleBodyWritten);
        } catch (IllegalArgumentException e) {
            fail(HttpFailure.Kind.NOT_SENT, "the request is not valid HTTP: " + e.getMessage(), e);
            return;
        }
        toSource(lease.client().reserveConnection(request))
                .subscribe(
                        new Step<ReservedStreamingHttpConnection>(
                                reserved -> send(reserved, request), true));
    }

    private void handleBodyWritten() {
        guard.onRequestWritten();
    }

    private void send(ReservedStreamingHttpConnection reserved, StreamingHttpRequest request) {
        FramingGuard reservedGuard =
                FramingGuard.of(reserved.connectionContext(), FramingLimits.ANSWER, lateAnswers);
        if (!reservedGuard.mayCarry(call.answerName())) {
            toSource(reserved.releaseAsync()).subscribe(IgnoredCompletion.INSTANCE);
            useNewConnection();
            return;
        }
        if (prepareToSend(reserved, reservedGuard)) {
            toSource(reserved.request(request))
                    .subscribe(new Step<StreamingHttpResponse>(this::handleHead, false));
        }
    }

    /**
     * Asks the receiver whether the call may be sent, and tells it if so. The receiver may cancel
     * the call on both occasions.
     *
     * @return whether to send the request now
     */
    private synchronized boolean prepareToSend(
            ReservedStreamingHttpConnection reserved, FramingGuard reservedGuard) {
        boolean allowed = !ended && receiver.maySend();
        if (ended || !allowed) {
            toSource(reserved.releaseAsync()).subscribe(IgnoredCompletion.INSTANCE);
            fail(HttpFailure.Kind.WITHDRAWN, "the call may not be sent any more", null);
            return false;
        }
        connection = reserved;
        guard = reservedGuard;
        int earlierCalls =
                guard.begin(
                        call.answerName(),
                        this::handleSkippedAnswer,
                        (kind, detail) -> fail(kind, detail, null));
        if (call.body().length() == 0) {
            guard.onRequestWritten();
        }
        receiver.onSent(new CallPosition(guard.localPort(), earlierCalls, movedToNewConnection));
        return !ended;
    }

    private synchronized void handleSkippedAnswer(SkippedAnswer skipped) {
        if (!ended) {
            receiver.onAnswerSkipped(skipped);
        }
    }

    private void useNewConnection() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ClientLease carriedCall = lease;
            lease = newConnections.get();
            carriedCall.release();
            movedToNewConnection = true;
        }
        reserveConnection();
    }

    private void handleHead(StreamingHttpResponse response) {
        reportBodyEnd(response);
        synchronized (this) {
            requireFinalStatus(response.status().code());
            if (!ended) {
                Map<String, String> headers = new HashMap<>();
                response.headers()
                        .forEach(
                                header ->
                                        headers.put(
                                                header.getKey().toString().toLowerCase(Locale.ROOT),
                                                header.getValue().toString()));
                unnamed =
                        call.answerName()
                                .filter(name -> !headers.containsKey(name.header()))
                                .isPresent();
                receiver.onHead(response.status().code(), headers);
            }
        }
        // The body is subscribed to even after the end of the call, because the subscription is
        // then cancelled at once, which closes the connection.
        toSource(response.payloadBody()).subscribe(new Body());
    }

    /** Fails unless the status can end a call. The library accepts any three digits from 100. */
    private void requireFinalStatus(int status) {
        if (!AnswerHead.isFinal(status)) {
            String detail = "the status " + status + " is not that of an answer";
            fail(HttpFailure.Kind.ANSWER_INVALID, detail, null);
        }
    }

    /** Tells the guard how the end of the body is found. */
    private void reportBodyEnd(StreamingHttpResponse response) {
        if (call.method().equals("HEAD")) {
            // A late second answer would state the length of a body that does not follow, so the
            // connection is not used again.
            guard.onHeadReceived(AnswerFraming.BodyEnd.CLOSE, 0);
        } else {
            guard.onHeadReceived(
                    response.status().code(),
                    text(response, "transfer-encoding"),
                    text(response, "content-length"));
        }
        endsConnection =
                guard.bodyEndsWithConnection()
                        || text(response, "connection").toLowerCase(Locale.ROOT).contains("close");
    }

    private static String text(StreamingHttpResponse response, String header) {
        CharSequence value = response.headers().get(header);
        return value == null ? "" : value.toString().trim();
    }

    private synchronized void handleData(Buffer buffer) {
        if (ended) {
            return;
        }
        guard.onBodyPart(buffer.readableBytes());
        receivedBytes += buffer.readableBytes();
        if (receivedBytes > maximumBytes) {
            String detail = "the answer exceeds " + maximumBytes + " bytes";
            fail(HttpFailure.Kind.ANSWER_TOO_LARGE, detail, null);
            return;
        }
        byte[] part = new byte[buffer.readableBytes()];
        buffer.readBytes(part);
        if (secondHead.isPresent() && secondHead.get().add(part)) {
            receiver.onData(Arrays.copyOf(part, secondHead.get().bytesBeforeHead()));
            failAsRepeated();
            return;
        }
        receiver.onData(part);
        if (!ended && !hold(receiver.heldBytes())) {
            String detail = "the answers of all calls exceed the memory for them; this one keeps ";
            fail(HttpFailure.Kind.ANSWER_TOO_LARGE, detail + heldBytes + " bytes", null);
        }
    }

    private boolean hold(long bytes) {
        long before = heldBytes;
        heldBytes = bytes;
        return heldByAll.change(before, bytes);
    }

    private void failAsRepeated() {
        String detail = "the head of a second answer to the call within the body of the first one";
        fail(HttpFailure.Kind.ANSWER_REPEATED, detail, null);
    }

    private synchronized void handleEnd() {
        if (ended) {
            return;
        }
        if (secondHead.isEmpty() || !secondHead.get().isOpen()) {
            complete();
            return;
        }
        secondHead.get().endBody();
        int agreeingBytes = secondHead.get().agreeingBytes();
        if (endsConnection && agreeingBytes >= TELLING_HEAD_BYTES) {
            // The library closes the connection, so the bytes after the body can not decide.
            failAsRepeated();
            return;
        }
        Duration wait = SECOND_HEAD_WAIT_PER_BYTE.multipliedBy(agreeingBytes);
        boolean tooLong = wait.compareTo(LONGEST_SECOND_HEAD_WAIT) > 0;
        guard.followBytesAfterEnd(
                this::handleBytesAfterEnd,
                tooLong ? LONGEST_SECOND_HEAD_WAIT : wait,
                this::complete);
    }

    private synchronized void handleBytesAfterEnd(byte[] bytes) {
        if (ended) {
            return;
        }
        if (secondHead.get().add(bytes)) {
            failAsRepeated();
        } else if (!secondHead.get().isOpen()) {
            complete();
        }
    }

    private synchronized void complete() {
        if (ended) {
            return;
        }
        ended = true;
        hold(0);
        timer.cancel(false);
        // A late copy of an answer that names no call could not be told from the next answer.
        boolean reusable = guard.end() && !unnamed;
        Completable ending = reusable ? connection.releaseAsync() : connection.closeAsync();
        toSource(ending).subscribe(IgnoredCompletion.INSTANCE);
        lease.release();
        receiver.onCompleted();
    }

    private synchronized void handleTimeout() {
        if (ended) {
            return;
        }
        if (connection == null) {
            failWithoutConnection("no connection within " + call.timeout(), null);
            return;
        }
        lease.retire();
        fail(HttpFailure.Kind.TIMED_OUT, "no complete answer within " + call.timeout(), null);
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

    private synchronized void failWithoutConnection(String detail, Throwable cause) {
        fail(
                movedToNewConnection
                        ? HttpFailure.Kind.NO_OTHER_CONNECTION
                        : HttpFailure.Kind.NOT_SENT,
                detail,
                cause);
    }

    private synchronized void fail(HttpFailure.Kind kind, String detail, Throwable cause) {
        if (stop()) {
            receiver.onFailed(new HttpFailure(kind, detail, cause));
        }
    }

    /**
     * Closes the connection. The receiver is not called any more after this method has returned.
     */
    public void cancel() {
        stop();
    }

    /**
     * Removes the pool of the call's address unless that is new, because its connection seems to be
     * silent. The call goes on. The idle connections of the pool are closed as soon as no call uses
     * the pool. Has no effect on a call that has ended.
     */
    public synchronized void retireAsSilent() {
        if (!ended) {
            lease.retireAsSilent();
        }
    }

    private synchronized boolean stop() {
        if (ended) {
            return false;
        }
        ended = true;
        hold(0);
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

    /** Waits for the reservation of a connection or for the head of the answer. */
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
                failWithoutConnection("the connection failed: " + cause, cause);
            } else {
                handleConnectionFailure(cause);
            }
        }
    }

    /** Receives the body of the answer. */
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
