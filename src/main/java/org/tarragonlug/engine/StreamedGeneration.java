package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.http.HttpExchange;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.http.JsonFields;

/**
 * Reads one streamed answer and passes its tokens to the listener.
 *
 * <p>The listener is called under the lock of this object, and {@link #cancel} takes the same lock
 * to mark the end. Therefore no token is delivered after {@code cancel} has returned. The exchange
 * is cancelled outside the lock, because its callbacks take the two locks in the opposite order.
 *
 * <p>The offsets of the tokens must follow each other without a gap. The answer is complete only
 * after the event with the token count and checksum and the end mark {@code [DONE]}.
 */
final class StreamedGeneration implements Generation, HttpReceiver {
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    private final GenerationListener listener;
    private final Runnable cancelAction;
    private final ScheduledExecutorService timers;
    private final long longestSilenceNanos;
    private final ServerSentEventParser eventParser = new ServerSentEventParser();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private int status;
    private int nextOffset;
    private int statedTokenCount = -1;
    private String checksum = "";
    private boolean firstTokenReceived;
    private long lastDataNanos = System.nanoTime();
    private boolean ended;

    StreamedGeneration(
            int resumeOffset,
            GenerationListener listener,
            Runnable cancelAction,
            ScheduledExecutorService timers,
            Duration longestSilence) {
        this.nextOffset = resumeOffset;
        this.listener = listener;
        this.cancelAction = cancelAction;
        this.timers = timers;
        this.longestSilenceNanos = longestSilence.toNanos();
    }

    void setExchange(HttpExchange startedExchange) {
        boolean cancelNow;
        synchronized (this) {
            exchange = startedExchange;
            cancelNow = ended;
        }
        if (cancelNow) {
            startedExchange.cancel();
        }
    }

    @Override
    public void cancel() {
        HttpExchange openExchange;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            openExchange = exchange;
        }
        if (openExchange != null) {
            openExchange.cancel();
        }
        cancelAction.run();
    }

    @Override
    public synchronized void onHead(int answerStatus, Map<String, String> headers) {
        status = answerStatus;
        lastDataNanos = System.nanoTime();
    }

    @Override
    public synchronized void onData(byte[] part) {
        lastDataNanos = System.nanoTime();
        if (status != 200) {
            int remainingSpace = MAX_ERROR_BYTES - errorBody.size();
            errorBody.write(part, 0, Math.min(remainingSpace, part.length));
            return;
        }
        try {
            for (String event : eventParser.add(part)) {
                if (!ended) {
                    handleEvent(event);
                }
            }
        } catch (IllegalArgumentException e) {
            fail(AttemptFailure.SERVER_ERROR, "the stream is malformed: " + e.getMessage());
        }
    }

    @Override
    public synchronized long heldBytes() {
        return eventParser.pendingBytes() + errorBody.size();
    }

    private void handleEvent(String event) {
        if (EngineProtocol.END_OF_STREAM.equals(event)) {
            handleEndOfStream();
            return;
        }
        JsonNode node = JsonFields.parse(event);
        if (node.has("error")) {
            EngineError error = EngineError.read(status, JsonFields.bytes(node));
            fail(AttemptFailure.SERVER_ERROR, error.detail());
        } else if (node.has("checksum")) {
            statedTokenCount =
                    JsonFields.smallCount(JsonFields.object(node, "usage"), "completion_tokens");
            checksum = JsonFields.text(node, "checksum");
        } else {
            handleToken(node);
        }
    }

    private void handleToken(JsonNode node) {
        int offset = JsonFields.smallCount(node, "offset");
        JsonNode choice = JsonFields.array(node, "choices").path(0);
        String text =
                choice.has("delta")
                        ? JsonFields.text(choice.path("delta"), "content")
                        : JsonFields.text(choice, "text");
        if (offset != nextOffset || statedTokenCount >= 0) {
            throw new IllegalArgumentException("offset " + offset + " instead of " + nextOffset);
        }
        nextOffset++;
        if (!firstTokenReceived) {
            firstTokenReceived = true;
            scheduleSilenceCheck(longestSilenceNanos);
        }
        listener.onToken(offset, text);
    }

    private void handleEndOfStream() {
        if (statedTokenCount != nextOffset) {
            throw new IllegalArgumentException(
                    statedTokenCount
                            + " tokens stated, but the next expected offset is "
                            + nextOffset);
        }
        ended = true;
        listener.onCompleted(statedTokenCount, checksum);
    }

    private void fail(AttemptFailure failure, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        if (exchange != null) {
            // This method is called only from callbacks of the exchange, which already hold its
            // lock, so the order of the locks is kept.
            exchange.cancel();
        }
        listener.onFailed(failure, detail);
    }

    @Override
    public synchronized void onCompleted() {
        if (status != 200) {
            EngineError error = EngineError.read(status, errorBody.toByteArray());
            fail(error.attemptFailure(), error.detail());
        } else {
            fail(AttemptFailure.CONNECTION_LOST, "the answer ended without the event [DONE]");
        }
    }

    @Override
    public synchronized void onFailed(HttpFailure failure) {
        if (status != 0 && status != 200) {
            EngineError error = EngineError.read(status, errorBody.toByteArray());
            fail(error.attemptFailure(), error.detail());
        } else {
            fail(EngineError.attemptFailure(failure), failure.getMessage());
        }
    }

    private void scheduleSilenceCheck(long nanos) {
        try {
            timers.schedule(this::checkSilence, nanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The process is stopping, which also closes its connections.
            return;
        }
    }

    private void checkSilence() {
        HttpExchange openExchange;
        synchronized (this) {
            long remainingNanos = lastDataNanos + longestSilenceNanos - System.nanoTime();
            if (ended) {
                return;
            }
            if (remainingNanos > 0) {
                scheduleSilenceCheck(remainingNanos);
                return;
            }
            ended = true;
            openExchange = exchange;
            listener.onFailed(
                    AttemptFailure.SILENT,
                    "no data within the progress deadline of "
                            + TimeUnit.NANOSECONDS.toMillis(longestSilenceNanos)
                            + " ms");
        }
        if (openExchange != null) {
            openExchange.cancel();
        }
    }
}
