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
 * #RETURN_TIME}: entries that expired during the outage come back within that time.
 */
final class StoreFollower {
    private static final Duration WATCH_WAIT = Duration.ofMillis(3000);

    /** Pause where changes are needed at once, and where others tell of the urgent ones. */
    private static final Duration SHORT_PAUSE = Duration.ofMillis(40);

    private static final Duration LONG_PAUSE = Duration.ofMillis(1100);
    private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(150);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(1000);

    /** Entries that expired while the store was away are back this long after its return. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2300);

    /** Receives the objects, on the event loop. */
    interface Listener {
        /** An object was read or changed. */
        void changed(StoredObject object);

        /** An object is no longer there. */
        void gone(String name);

        /** The first list is complete. */
        void complete();
    }

    private final String kind;
    private final ObjectApi store;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final BooleanSupplier eager;
    private final Listener listener;
    private final Map<String, Long> known = new HashMap<>();
    private final Set<String> missing = new HashSet<>();
    private Instant missingSince;
    private long revision;
    private boolean complete;
    private boolean down;
    private boolean stopped;
    private Duration backoff = SHORTEST_BACKOFF;

    StoreFollower(
            String kind,
            ObjectApi store,
            Executor loop,
            TimerService timers,
            EventLog log,
            BooleanSupplier eager,
            Listener listener) {
        this.kind = kind;
        this.store = store;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.eager = eager;
        this.listener = listener;
    }

    void start() {
        list();
    }

    void stop() {
        stopped = true;
    }

    /** Tells whether the last call failed. */
    boolean isDown() {
        return down;
    }

    private void list() {
        if (!stopped) {
            store.list(kind).whenCompleteAsync(this::listed, loop);
        }
    }

    private void listed(WatchResult result, Throwable failure) {
        if (failure != null) {
            failed(failure, true);
            return;
        }
        boolean afterOutage = down;
        worked();
        Set<String> found = new HashSet<>();
        for (StoredObject object : result.changed()) {
            if (object.exists()) {
                found.add(object.name().name());
                changed(object);
            }
        }
        Set<String> lost = new HashSet<>(known.keySet());
        lost.removeAll(found);
        if (complete && afterOutage && !lost.isEmpty()) {
            missing.addAll(lost);
            missingSince = timers.now();
            timers.scheduleOnce(RETURN_TIME, now -> dropMissing());
        } else {
            lost.forEach(this::gone);
        }
        revision = result.revision();
        if (!complete) {
            complete = true;
            listener.complete();
        }
        watch();
    }

    private void dropMissing() {
        if (!down && !timers.now().isBefore(missingSince.plus(RETURN_TIME))) {
            new HashSet<>(missing).forEach(this::gone);
            missing.clear();
        }
    }

    private void watch() {
        if (!stopped) {
            store.watch(kind, revision, WATCH_WAIT).whenCompleteAsync(this::watched, loop);
        }
    }

    private void watched(WatchResult result, Throwable failure) {
        if (failure != null) {
            failed(failure, false);
            return;
        }
        worked();
        if (result.gap()) {
            log.event(LogEvent.STORE_HISTORY_GONE).with("kind", kind).write();
            list();
            return;
        }
        for (StoredObject object : result.changed()) {
            if (object.exists()) {
                changed(object);
            } else {
                gone(object.name().name());
            }
        }
        revision = result.revision();
        timers.scheduleOnce(eager.getAsBoolean() ? SHORT_PAUSE : LONG_PAUSE, now -> watch());
    }

    private void changed(StoredObject object) {
        String name = object.name().name();
        missing.remove(name);
        // An answer that came through a peer may be older than one that came directly.
        if (object.version() > known.getOrDefault(name, 0L)) {
            known.put(name, object.version());
            listener.changed(object);
        }
    }

    private void gone(String name) {
        if (known.remove(name) != null) {
            listener.gone(name);
        }
    }

    private void worked() {
        if (down) {
            log.event(LogEvent.OBJECT_API_UP).with("kind", kind).write();
        }
        down = false;
        backoff = SHORTEST_BACKOFF;
    }

    private void failed(Throwable failure, boolean listing) {
        if (!down) {
            log.event(LogEvent.OBJECT_API_DOWN)
                    .with("kind", kind)
                    .with("failure", failure.getMessage())
                    .write();
        }
        down = true;
        Duration pause = backoff;
        backoff = backoff.multipliedBy(2);
        backoff = backoff.compareTo(LONGEST_BACKOFF) > 0 ? LONGEST_BACKOFF : backoff;
        // After a failed watch the kind is listed: what was written meanwhile may be forgotten.
        timers.scheduleOnce(pause, now -> list());
    }
}
