package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.EventStreamSplitter;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.HttpExchange;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.http.SkippedAnswer;
import org.tarragonlug.platform.ServerAnswer;
import org.tarragonlug.runtime.TimerService;

/**
 * One attempt of a request at one server.
 *
 * <p>An answer counts only if it names this request, or is the first answer on its connection. A
 * server may write the rejection of an earlier request once more, or send additional bytes after an
 * answer that read as another one, and the request to which they seem to belong may run all the
 * same. A connection carries a request only once, so an answer that names it answers this attempt.
 *
 * <p>A status that tells callers that the request has not run says so only with the server's own
 * statement; the answer is then a rejection. Without the statement it is ambiguous: it is read to
 * its end, so that the connection can be used further, and is never passed on, sealed or not.
 *
 * <p>No part of a successful answer is delivered before its head shows that it belongs to this
 * request: the server's seal and the request's id must be present. The attempt is reported as
 * broken if an answer carries the id of another request, if a successful answer lacks the seal or
 * the id or has a content encoding, if a stream leaves out an event after the last one that the
 * caller has received, if it contains bytes that are no numbered event, or if it ends in the middle
 * of an event. All events of a stream have increasing ids, so the caller receives nothing that has
 * none. Events that the caller has already received are skipped.
 */
final class ServerAttempt implements HttpReceiver {
    private static final int OK = 200;

    /**
     * Time without any byte of an answer after which a kept connection may have gone silent. It is
     * shorter than any time after which an attempt is given up for its server's silence.
     */
    private static final Duration SILENCE = Duration.ofMillis(300);

    /** Size of the largest event of a stream; an event holds a few tokens. */
    private static final int MAX_EVENT_BYTES = 64 * 1024;

    private final String requestId;
    private final String serverId;
    private final boolean streaming;
    private final AttemptListener listener;
    private final TimerService timers;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private final List<byte[]> bodyParts = new ArrayList<>();
    private long bodyBytes;
    private HttpExchange exchange;
    private Map<String, String> headers = Map.of();
    private ServerAnswer answer;
    private long lastEventId;
    private AnswerProgress progress = AnswerProgress.NOTHING;
    private boolean newConnection;
    private Instant sentAt;
    private boolean streamStarted;
    private boolean ended;

    ServerAttempt(
            String requestId,
            String serverId,
            boolean streaming,
            long lastEventId,
            AttemptListener listener,
            TimerService timers) {
        this.requestId = requestId;
        this.serverId = serverId;
        this.streaming = streaming;
        this.lastEventId = lastEventId;
        this.listener = listener;
        this.timers = timers;
    }

    void attachExchange(HttpExchange started) {
        exchange = started;
        if (ended) {
            started.cancel();
        }
    }

    /**
     * Closes the connection. The listener is not called afterwards. If nothing has come on a kept
     * connection for a while, further requests are sent on new ones.
     */
    void cancel() {
        ended = true;
        if (exchange != null) {
            retireSilentConnections();
            exchange.cancel();
        }
    }

    /**
     * Sends further requests on new connections if nothing has come on a kept one for a while: all
     * kept connections to the server may have gone silent. The answer is still awaited.
     */
    void retireSilentConnections() {
        if (exchange != null && isSilent()) {
            exchange.retireAsSilent();
        }
    }

    private boolean isSilent() {
        return sentAt != null
                && !newConnection
                && answer == null
                && !timers.now().isBefore(sentAt.plus(SILENCE));
    }

    @Override
    public boolean maySend() {
        return !ended && listener.maySend();
    }

    @Override
    public void onSent(CallPosition position) {
        newConnection = position.isFirst();
        sentAt = timers.now();
        listener.onSent(position);
    }

    @Override
    public void onAnswerSkipped(SkippedAnswer skipped) {
        if (!ended) {
            listener.onAnswerSkipped(skipped);
        }
    }

    @Override
    public void onHead(int status, Map<String, String> answerHeaders) {
        if (ended) {
            return;
        }
        headers = answerHeaders;
        answer = ServerAnswer.decode(status, answerHeaders, serverId);
        if (!answer.requestId().equals(requestId) && !answer.requestId().isEmpty()) {
            fail("the answer carries the id of another request");
            return;
        }
        if (answer.requestId().isEmpty() && !newConnection) {
            fail("the answer on a kept connection names no request");
            return;
        }
        reportNotice();
        if (answer.rejection().isPresent()) {
            return;
        }
        boolean success = status >= OK && status < 300;
        if (success && (!answer.sealed() || answer.requestId().isEmpty())) {
            fail("the successful answer lacks the server's seal or the request id");
        } else if (success && answer.encoded()) {
            fail("the successful answer has a content-encoding");
        } else if (status == OK && streaming) {
            progress = AnswerProgress.HEAD;
            streamStarted = true;
            listener.onStreamStarted(headers, answer.load());
        }
    }

    @Override
    public void onData(byte[] part) {
        if (ended) {
            return;
        }
        if (!streamStarted) {
            progress = AnswerProgress.CONTENT;
            bodyParts.add(part);
            bodyBytes += part.length;
            return;
        }
        for (EventStreamSplitter.Event event : splitter.add(part)) {
            if (ended) {
                return;
            }
            deliver(event);
        }
        if (!ended && splitter.pendingBytes() > MAX_EVENT_BYTES) {
            fail("an event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
    }

    @Override
    public long heldBytes() {
        return bodyBytes + splitter.pendingBytes();
    }

    private void deliver(EventStreamSplitter.Event event) {
        progress = AnswerProgress.CONTENT;
        long id = event.id().orElse(-1);
        if (id < 0) {
            fail("the stream contains bytes that are no numbered event");
        } else if (event.bytes().length > MAX_EVENT_BYTES) {
            fail("an event exceeds " + MAX_EVENT_BYTES + " bytes");
        } else if (lastEventId >= 0 && id > lastEventId + 1) {
            fail("events are missing between " + lastEventId + " and " + id);
        } else if (id > lastEventId) {
            lastEventId = id;
            listener.onStreamEvent(event.bytes(), id);
        }
    }

    @Override
    public void onCompleted() {
        if (ended) {
            return;
        }
        if (streamStarted && splitter.hasIncompleteEvent()) {
            fail("the stream ended in the middle of an event");
            return;
        }
        ended = true;
        if (answer.rejection().isPresent()) {
            reportRejection(answer.rejection().get());
        } else if (streamStarted) {
            listener.onStreamCompleted(answer.load());
        } else if (answer.isAmbiguous()) {
            listener.onAnsweredAmbiguously(answer.status(), answer.load());
        } else {
            listener.onAnswered(answer.status(), headers, HttpBody.of(bodyParts), answer.load());
        }
    }

    @Override
    public void onFailed(HttpFailure failure) {
        if (ended) {
            return;
        }
        ended = true;
        if (failure.kind() == HttpFailure.Kind.ANSWER_REPEATED) {
            listener.onSecondAnswer();
        }
        if (failure.kind() == HttpFailure.Kind.WITHDRAWN) {
            listener.onRejected(Rejection.WITHDRAWN, true, Optional.empty());
        } else if (failure.kind() == HttpFailure.Kind.NO_OTHER_CONNECTION) {
            listener.onRejected(Rejection.NO_OTHER_CONNECTION, true, Optional.empty());
        } else if (failure.notSent() && answer == null) {
            listener.onRejected(Rejection.UNREACHABLE, true, Optional.empty());
        } else if (answer != null && answer.rejection().isPresent()) {
            reportRejection(answer.rejection().get());
        } else {
            listener.onBroken(progress, failure.getMessage());
        }
    }

    /** Passes on what the server says about itself, unless another server has answered. */
    private void reportNotice() {
        boolean otherServer = answer.rejection().equals(Optional.of(Rejection.WRONG_SERVER));
        if (!otherServer && !answer.notice().equals(ServerNotice.NONE)) {
            listener.onServerNotice(answer.notice());
        }
    }

    private void reportRejection(Rejection rejection) {
        listener.onRejected(rejection, answer.requestId().equals(requestId), answer.load());
    }

    private void fail(String detail) {
        cancel();
        listener.onBroken(progress, detail);
    }
}
