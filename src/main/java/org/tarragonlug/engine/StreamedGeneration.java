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
 * Reads one streamed answer and passes its tokens on.
 *
 * <p>The listener is called under this object's lock and {@link #cancel} takes the same lock to
 * mark the end, so no token is delivered once {@code cancel} has returned. The exchange is
 * cancelled outside the lock, because its own callbacks take the locks in the other order. Offsets
 * must follow each other without a gap; the answer is whole only after the last event with the
 * token count and the end mark.
 */
final class StreamedGeneration implements Generation, HttpReceiver {
    private static final int LARGEST_ERROR_BYTES = 64 * 1024;

    private final GenerationListener listener;
    private final Runnable onCancel;
    private final ScheduledExecutorService timers;
    private final long silenceNanos;
    private final ServerSentEvents events = new ServerSentEvents();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private int status;
    private int nextOffset;
    private int tokens = -1;
    private String checksum = "";
    private boolean hasToken;
    private long lastDataNanos = System.nanoTime();
    private boolean ended;

    StreamedGeneration(
            int resumeOffset,
            GenerationListener listener,
            Runnable onCancel,
            ScheduledExecutorService timers,
            Duration longestSilence) {
        this.nextOffset = resumeOffset;
        this.listener = listener;
        this.onCancel = onCancel;
        this.timers = timers;
        this.silenceNanos = longestSilence.toNanos();
    }

    void started(HttpExchange startedExchange) {
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
        HttpExchange open;
        boolean silent;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            open = exchange;
            silent = System.nanoTime() - lastDataNanos >= silenceNanos;
        }
        if (open != null && silent) {
            open.cancelSilent();
        } else if (open != null) {
            open.cancel();
        }
        onCancel.run();
    }

    @Override
    public synchronized void head(int answerStatus, Map<String, String> headers) {
        status = answerStatus;
        lastDataNanos = System.nanoTime();
    }

    @Override
    public synchronized void data(byte[] part) {
        lastDataNanos = System.nanoTime();
        if (status != 200) {
            int room = LARGEST_ERROR_BYTES - errorBody.size();
            errorBody.write(part, 0, Math.min(room, part.length));
            return;
        }
        try {
            for (String event : events.add(part)) {
                if (!ended) {
                    handle(event);
                }
            }
        } catch (IllegalArgumentException e) {
            end(AttemptFailure.SERVER_ERROR, "the stream is malformed: " + e.getMessage());
        }
    }

    private void handle(String event) {
        if (EngineProtocol.END_OF_STREAM.equals(event)) {
            finish();
            return;
        }
        JsonNode node = JsonFields.parse(event);
        if (node.has("error")) {
            EngineError error = EngineError.read(status, JsonFields.bytes(node));
            end(AttemptFailure.SERVER_ERROR, error.detail());
        } else if (node.has("checksum")) {
            tokens = JsonFields.smallCount(JsonFields.object(node, "usage"), "completion_tokens");
            checksum = JsonFields.text(node, "checksum");
        } else {
            token(node);
        }
    }

    private void token(JsonNode node) {
        int offset = JsonFields.smallCount(node, "offset");
        JsonNode choice = JsonFields.array(node, "choices").path(0);
        String text =
                choice.has("delta")
                        ? JsonFields.text(choice.path("delta"), "content")
                        : JsonFields.text(choice, "text");
        if (offset != nextOffset || tokens >= 0) {
            throw new IllegalArgumentException("offset " + offset + " in place of " + nextOffset);
        }
        nextOffset++;
        if (!hasToken) {
            hasToken = true;
            watchSilence(silenceNanos);
        }
        listener.token(offset, text);
    }

    private void finish() {
        if (tokens != nextOffset) {
            throw new IllegalArgumentException(
                    tokens + " tokens stated, last offset " + nextOffset);
        }
        ended = true;
        listener.completed(tokens, checksum);
    }

    private void end(AttemptFailure failure, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        if (exchange != null) {
            // Reached only from callbacks of the exchange, which hold its lock already.
            exchange.cancel();
        }
        listener.failed(failure, detail);
    }

    @Override
    public synchronized void completed() {
        if (status != 200) {
            EngineError error = EngineError.read(status, errorBody.toByteArray());
            end(error.attemptFailure(), error.detail());
        } else {
            end(AttemptFailure.CONNECTION_LOST, "the answer ended without its end mark");
        }
    }

    @Override
    public synchronized void failed(HttpFailure failure) {
        if (status != 0 && status != 200) {
            EngineError error = EngineError.read(status, errorBody.toByteArray());
            end(error.attemptFailure(), error.detail());
        } else {
            end(EngineError.attemptFailure(failure), failure.getMessage());
        }
    }

    private void watchSilence(long nanos) {
        try {
            timers.schedule(this::checkSilence, nanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The process is stopping, and its connections close with it.
            return;
        }
    }

    private void checkSilence() {
        HttpExchange open;
        synchronized (this) {
            long left = lastDataNanos + silenceNanos - System.nanoTime();
            if (ended) {
                return;
            }
            if (left > 0) {
                watchSilence(left);
                return;
            }
            ended = true;
            open = exchange;
            listener.failed(AttemptFailure.SILENT, "no token in the progress deadline");
        }
        if (open != null) {
            open.cancelSilent();
        }
    }
}
