package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.LogEvent;

/**
 * Counts the calls to the object API and tracks whether the API is up.
 *
 * <p>The API counts as down after three consecutive calls without an answer, and as up after the
 * first answer. One failed call is not an outage, because a single connection may have broken.
 *
 * <p>An instance that is the decider of a server group or the owner of the configuration checks the
 * API with one read per second, and with five per second after a failure. Without these checks, the
 * first sign of an outage would be a decision whose write ends with unknown outcome, and no further
 * decision on the same subject could be made until the outage ends. Other instances check only
 * while they see the API as down. The number of checks thus grows with the number of deciders and
 * not with the number of instances.
 */
final class MonitoredObjectApi implements ObjectApi {
    private static final int FAILURES_BEFORE_DOWN = 3;
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration RECHECK_PERIOD = Duration.ofMillis(200);
    private static final ObjectName PROBE = new ObjectName("configuration", "accepted");

    private final ObjectApi api;
    private final InstanceContext context;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private int consecutiveFailures;
    private boolean up = true;
    private boolean deciding;
    private boolean checkInProgress;

    MonitoredObjectApi(ObjectApi api, InstanceContext context) {
        this.api = api;
        this.context = context;
        context.every(CHECK_PERIOD, this::check);
        context.every(RECHECK_PERIOD, this::recheck);
    }

    /**
     * Adds a listener that is called on the event loop, with true if the API is up, on each change.
     */
    void addListener(Consumer<Boolean> listener) {
        listeners.add(listener);
    }

    boolean isUp() {
        return up;
    }

    /** Sets whether this instance decides for a server group or accepts tables. */
    void setDeciding(boolean isDeciding) {
        deciding = isDeciding;
    }

    private void check() {
        if ((deciding || !up) && !checkInProgress) {
            checkInProgress = true;
            context.onLoop(read(PROBE), (object, failure) -> checkInProgress = false);
        }
    }

    private void recheck() {
        if (deciding && up && consecutiveFailures > 0) {
            check();
        }
    }

    private <T> CompletionStage<T> monitor(String call, CompletionStage<T> stage) {
        context.onLoop(stage, (value, failure) -> onCallEnded(call, failure));
        return stage;
    }

    private void onCallEnded(String call, Throwable failure) {
        ErrorCode code = failure == null ? null : Failures.code(failure);
        String result = code == null ? "ok" : code.code();
        context.metrics().objectApiCalls().labelValues(call, result).inc();
        boolean answered = code == null || code == ErrorCode.WRITE_CONFLICT;
        consecutiveFailures = answered ? 0 : consecutiveFailures + 1;
        if (answered && !up) {
            changeState(true, LogEvent.OBJECT_API_UP);
        } else if (up && consecutiveFailures >= FAILURES_BEFORE_DOWN) {
            changeState(false, LogEvent.OBJECT_API_DOWN);
        }
    }

    private void changeState(boolean nowUp, LogEvent event) {
        up = nowUp;
        context.log().event(event).write();
        for (Consumer<Boolean> listener : listeners) {
            listener.accept(nowUp);
        }
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return monitor("read", api.read(name));
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        return monitor("write", api.write(name, content, expectedVersion));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return monitor("delete", api.delete(name, expectedVersion));
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return monitor("list", api.list(kind));
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        return monitor("watch", api.watch(kind, after, longestWait));
    }
}
