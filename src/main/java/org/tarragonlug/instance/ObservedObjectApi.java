package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.LogEvent;

/**
 * Counts the calls of the object API and tells whether it is up.
 *
 * <p>It counts as down after three calls in a row without an answer, and as up with the first
 * answer. One failed call is no outage: it may be a broken connection. An instance that decides on
 * something checks once a second with a read, and five times as often after a failure, because an
 * outage that is first noticed by a decision leaves a write of unknown outcome, and what it
 * concerned cannot be decided again before the outage ends. Other instances check only while the
 * API is down for them, so that the checks grow with the deciders and not with the fleet.
 */
final class ObservedObjectApi implements ObjectApi {
    private static final int FAILURES_UNTIL_DOWN = 3;
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration RECHECK_PERIOD = Duration.ofMillis(200);
    private static final ObjectName PROBE = new ObjectName("configuration", "accepted");

    private final ObjectApi api;
    private final InstanceContext context;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private int failuresInRow;
    private boolean up = true;
    private boolean deciding;
    private boolean checking;

    ObservedObjectApi(ObjectApi api, InstanceContext context) {
        this.api = api;
        this.context = context;
        context.every(CHECK_PERIOD, this::check);
        context.every(RECHECK_PERIOD, this::recheck);
    }

    /** Adds a listener, called on the event loop with whether the API is up. */
    void listen(Consumer<Boolean> listener) {
        listeners.add(listener);
    }

    boolean isUp() {
        return up;
    }

    /** Sets whether this instance decides on something. */
    void deciding(boolean decides) {
        deciding = decides;
    }

    private void check() {
        if ((deciding || !up) && !checking) {
            checking = true;
            context.onLoop(read(PROBE), (object, failure) -> checking = false);
        }
    }

    private void recheck() {
        if (deciding && up && failuresInRow > 0) {
            check();
        }
    }

    private <T> CompletionStage<T> observe(String call, CompletionStage<T> stage) {
        context.onLoop(stage, (value, failure) -> ended(call, failure));
        return stage;
    }

    private void ended(String call, Throwable failure) {
        ErrorCode code = failure == null ? null : Failures.code(failure);
        String result = code == null ? "ok" : code.code();
        context.metrics().objectApiCalls().labelValues(call, result).inc();
        boolean answered = code == null || code == ErrorCode.WRITE_CONFLICT;
        failuresInRow = answered ? 0 : failuresInRow + 1;
        if (answered && !up) {
            change(true, LogEvent.OBJECT_API_UP);
        } else if (up && failuresInRow >= FAILURES_UNTIL_DOWN) {
            change(false, LogEvent.OBJECT_API_DOWN);
        }
    }

    private void change(boolean nowUp, LogEvent event) {
        up = nowUp;
        context.log().event(event).write();
        for (Consumer<Boolean> listener : listeners) {
            listener.accept(nowUp);
        }
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return observe("read", api.read(name));
    }

    @Override
    public CompletionStage<Long> write(ObjectName name, JsonNode content, long expectedVersion) {
        return observe("write", api.write(name, content, expectedVersion));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return observe("delete", api.delete(name, expectedVersion));
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return observe("list", api.list(kind));
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, long afterRevision, Duration longestWait) {
        return observe("watch", api.watch(kind, afterRevision, longestWait));
    }
}
