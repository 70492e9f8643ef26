package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Follows all objects of one kind: a list first, then watches, and a list again after each gap.
 *
 * <p>A watch waits for a few seconds only, since a connection that went silent shows itself only by
 * the missing answer. Between two watches there is a pause, which joins changes that come together
 * into one call; it is short only while the changes are needed at once.
 *
 * <p>An object that is missing from a list after an outage is reported as gone only after {@link
 * #MISSING_GRACE_PERIOD}: entries that expired during the outage come back within that time.
 */
final class StoreWatcher {
    private static final Duration WATCH_WAIT = Duration.ofMillis(3000);

    /** Pause where changes are needed at once, and where others tell of the urgent ones. */
    private static final Duration SHORT_PAUSE = Duration.ofMillis(40);

    private static final Duration LONG_PAUSE = Duration.ofMillis(1100);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1000);

    /** Entries that expired while the store was away are back this long after its return. */
    private static final Duration MISSING_GRACE_PERIOD = Duration.ofMillis(2300);

    /** Receives the objects, on the event loop. */
    interface Listener {
        /** An object was read or changed. */
        void onChanged(StoredObject object);

        /** An object is no longer there. */
        void onRemoved(String name);

        /** The first list is complete. */
        void onInitialListComplete();
    }

    private final String kind;
    private final ObjectApi store;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final BooleanSupplier promptUpdates;
    private final Listener listener;
    private final Map<String, Long> knownVersions = new HashMap<>();
    private final Set<String> missing = new HashSet<>();
    private Instant missingSince;
    private long revision;
    private boolean initialListComplete;
    private boolean unavailable;
    private boolean stopped;
    private Duration backoff = MIN_BACKOFF;

    StoreWatcher(
            String kind,
            ObjectApi store,
            Executor loop,
            TimerService timers,
            EventLog log,
            BooleanSupplier promptUpdates,
            Listener listener) {
        this.kind = kind;
        this.store = store;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.promptUpdates = promptUpdates;
        this.listener = listener;
    }

    void start() {
        list();
    }

    void stop() {
        stopped = true;
    }

    /** Tells whether the last call failed. */
    boolean isUnavailable() {
        return unavailable;
    }

    private void list() {
        if (!stopped) {
            store.list(kind).whenCompleteAsync(this::onList, loop);
        }
    }

    private void onList(WatchResult result, Throwable failure) {
        if (failure != null) {
            onFailure(failure, true);
            return;
        }
        boolean afterOutage = unavailable;
        onSuccess();
        Set<String> found = new HashSet<>();
        for (StoredObject object : result.changed()) {
            if (object.exists()) {
                found.add(object.name().name());
                applyChange(object);
            }
        }
        Set<String> absent = new HashSet<>(knownVersions.keySet());
        absent.removeAll(found);
        if (initialListComplete && afterOutage && !absent.isEmpty()) {
            missing.addAll(absent);
            missingSince = timers.now();
            timers.scheduleOnce(MISSING_GRACE_PERIOD, now -> removeMissing());
        } else {
            absent.forEach(this::applyRemoval);
        }
        revision = result.revision();
        if (!initialListComplete) {
            initialListComplete = true;
            listener.onInitialListComplete();
        }
        watch();
    }

    private void removeMissing() {
        if (!unavailable && !timers.now().isBefore(missingSince.plus(MISSING_GRACE_PERIOD))) {
            new HashSet<>(missing).forEach(this::applyRemoval);
            missing.clear();
        }
    }

    private void watch() {
        if (!stopped) {
            store.watch(kind, revision, WATCH_WAIT).whenCompleteAsync(this::onWatchResult, loop);
        }
    }

    private void onWatchResult(WatchResult result, Throwable failure) {
        if (failure != null) {
            onFailure(failure, false);
            return;
        }
        onSuccess();
        if (result.gap()) {
            log.event(LogEvent.STORE_HISTORY_GONE).with("kind", kind).write();
            list();
            return;
        }
        for (StoredObject object : result.changed()) {
            if (object.exists()) {
                applyChange(object);
            } else {
                applyRemoval(object.name().name());
            }
        }
        revision = result.revision();
        timers.scheduleOnce(promptUpdates.getAsBoolean() ? SHORT_PAUSE : LONG_PAUSE, now -> watch());
    }

    private void applyChange(StoredObject object) {
        String name = object.name().name();
        missing.remove(name);
        // An answer that came through a peer may be older than one that came directly.
        if (object.version() > knownVersions.getOrDefault(name, 0L)) {
            knownVersions.put(name, object.version());
            listener.onChanged(object);
        }
    }

    private void applyRemoval(String name) {
        if (knownVersions.remove(name) != null) {
            listener.onRemoved(name);
        }
    }

    private void onSuccess() {
        if (unavailable) {
            log.event(LogEvent.OBJECT_API_UP).with("kind", kind).write();
        }
        unavailable = false;
        backoff = MIN_BACKOFF;
    }

    private void onFailure(Throwable failure, boolean listing) {
        if (!unavailable) {
            log.event(LogEvent.OBJECT_API_DOWN)
                    .with("kind", kind)
                    .with("failure", failure.getMessage())
                    .write();
        }
        unavailable = true;
        Duration pause = backoff;
        backoff = backoff.multipliedBy(2);
        backoff = backoff.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : backoff;
        // After a failed watch the kind is listed: what was written meanwhile may be forgotten.
        timers.scheduleOnce(pause, now -> list());
    }
}
