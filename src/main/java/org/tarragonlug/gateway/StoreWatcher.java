package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.tarragonlug.decision.watching.StoreOutage;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerHandle;
import org.tarragonlug.runtime.TimerService;

/**
 * Watches all objects of one kind. It lists them first, then watches for changes, and lists them
 * again after each gap in the history.
 *
 * <p>How long a watch waits, and how long the watcher pauses between two watches, depends on what
 * the instance does with the changes ({@link WatchPace}). A watch that is lost is followed by a
 * list at once: the store may cut off a watch that waits, and a connection that went silent has
 * already taken most of the time that is allowed. For the same reason the first watch after that
 * does not wait: its answer shows that the connections of the watches work again.
 *
 * <p>If an object is missing from a list after an outage of the store, a later list decides whether
 * it is gone ({@link StoreOutage}), because servers then rewrite the entries that expired.
 *
 * <p>A store that comes back from an older copy gives revisions out again. Versions are therefore
 * compared only within an era, and all objects are listed anew in each one. The listener then also
 * receives objects that are older than what it knows.
 */
final class StoreWatcher {
    /** Pause before a list after the first lost watch. */
    private static final Duration NO_BACKOFF = Duration.ZERO;

    private static final Duration MIN_BACKOFF = Duration.ofMillis(150);

    /**
     * Longest time between the beginnings of two lists. It is also how inexactly the end of an
     * outage is known, and of what is allowed after it, servers need most ({@link StoreOutage}).
     */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(700);

    /** What the watcher does at present. */
    private enum Step {
        LISTING,
        WATCHING,
        PAUSING
    }

    /** Receives the objects. Called on the event loop. */
    interface Listener {
        /**
         * Called when an object is read for the first time, has a newer version, or is read for the
         * first time in an era of the store.
         */
        void onChanged(StoredObject object);

        /** Called when an object that was reported before has been removed. */
        void onRemoved(String name);

        /** Called once, when all objects of the first successful list have been reported. */
        void onInitialListComplete();

        /**
         * Called when all that a list or watch told has been reported.
         *
         * @param began when the call began; its answer is not older
         */
        default void onAnswered(Instant began) {}
    }

    private final String kind;
    private final ObjectApi store;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final WatchLimits limits;
    private final Supplier<WatchPace> pace;
    private final Supplier<StoreEra> present;
    private final Runnable onWatchLost;
    private final Listener listener;
    private final StoreOutage outage;
    private final Map<String, StorePosition> knownPositions = new HashMap<>();
    private Step step = Step.PAUSING;
    private TimerHandle nextStep = () -> {};

    /** Number of the latest call; results of earlier ones are ignored. */
    private int lastCall;

    private StorePosition position = StorePosition.START;
    private boolean initialListComplete;
    private boolean unavailable;

    /** Whether a call has failed since the last watch that was answered. */
    private boolean failedBefore;

    private boolean stopped;
    private Duration backoff = NO_BACKOFF;

    /**
     * Creates a watcher that does nothing until it is started.
     *
     * @param kind the kind of objects
     * @param limits what the platform allows
     * @param pace the present pace
     * @param present the present era of the store
     * @param onWatchLost called when a watch ends without an answer, so that others may begin anew
     * @param listener receives the objects
     */
    StoreWatcher(
            String kind,
            ObjectApi store,
            Executor loop,
            TimerService timers,
            EventLog log,
            WatchLimits limits,
            Supplier<WatchPace> pace,
            Supplier<StoreEra> present,
            Runnable onWatchLost,
            Listener listener) {
        this.kind = kind;
        this.store = store;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.limits = limits;
        this.outage = new StoreOutage(limits);
        this.pace = pace;
        this.present = present;
        this.onWatchLost = onWatchLost;
        this.listener = listener;
    }

    void start() {
        list();
    }

    void stop() {
        stopped = true;
    }

    /**
     * Lists the objects again if a watch is waiting. Its connection may have gone silent together
     * with that of another watch, which would show only when its wait is over.
     */
    void renew() {
        if (step == Step.WATCHING) {
            list();
        }
    }

    /**
     * Lists the objects of a new era of the store. The list follows the answer that told of the
     * era, which may be a list of this kind itself.
     */
    void onStoreEra() {
        outage.onStoreRestored(timers.now());
        loop.execute(this::listUnlessOfPresentEra);
    }

    private void listUnlessOfPresentEra() {
        if (initialListComplete && step != Step.LISTING && !position.era().equals(present.get())) {
            list();
        }
    }

    private void list() {
        begin(Step.LISTING, () -> store.list(kind), this::onListed, this::onListFailed);
    }

    private void watch() {
        begin(
                Step.WATCHING,
                () -> store.watch(kind, position, longestWait()),
                this::onWatched,
                this::onWatchFailed);
    }

    /**
     * Returns how long the next watch waits. After a failure it does not wait, because the list
     * before it was answered on a connection of its own, and those of the watches may be silent.
     */
    private Duration longestWait() {
        return failedBefore ? Duration.ZERO : pace.get().longestWait(limits);
    }

    /** Makes a call to the store in place of the present step. */
    private void begin(
            Step newStep,
            Supplier<CompletionStage<WatchResult>> call,
            BiConsumer<Instant, WatchResult> onAnswer,
            BiConsumer<Instant, Throwable> onFailure) {
        if (stopped) {
            return;
        }
        nextStep.cancel();
        step = newStep;
        lastCall++;
        int number = lastCall;
        Instant began = timers.now();
        call.get()
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (number != lastCall) {
                                return;
                            }
                            step = Step.PAUSING;
                            if (failure == null) {
                                handle(() -> onAnswer.accept(began, result));
                            } else {
                                handle(() -> onFailure.accept(began, failure));
                            }
                        },
                        loop);
    }

    /**
     * Handles the end of a call. If that fails, the objects are listed anew, so that a fault in one
     * change does not end the watch.
     */
    private void handle(Runnable end) {
        try {
            end.run();
        } catch (RuntimeException e) {
            log.event(LogEvent.PART_FAILED).with("part", "watch of " + kind).withFailure(e).write();
            pause(MAX_BACKOFF, this::list);
        }
    }

    private void pause(Duration pause, Runnable next) {
        nextStep = timers.scheduleOnce(pause, now -> next.run());
    }

    private void onListed(Instant began, WatchResult result) {
        Instant now = timers.now();
        Instant keepMissingUntil = outage.keepMissingUntil(now);
        onAnswered();
        Set<String> absent = new HashSet<>(knownPositions.keySet());
        for (StoredObject object : result.changed()) {
            if (object.exists()) {
                absent.remove(object.name().name());
                applyChange(object);
            }
        }
        if (!keepMissingUntil.isAfter(now)) {
            absent.forEach(this::applyRemoval);
        } else if (!absent.isEmpty()) {
            timers.scheduleOnce(Duration.between(now, keepMissingUntil), due -> listAgain());
        }
        position = result.position();
        if (!initialListComplete) {
            initialListComplete = true;
            listener.onInitialListComplete();
        }
        listener.onAnswered(began);
        watch();
    }

    /** Finds out which of the missing objects are back, unless a list is under way anyway. */
    private void listAgain() {
        if (step != Step.LISTING) {
            list();
        }
    }

    private void onWatched(Instant began, WatchResult result) {
        onAnswered();
        if (!failedBefore) {
            backoff = NO_BACKOFF;
        }
        failedBefore = false;
        if (result.gap() || !result.position().era().equals(position.era())) {
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
        position = result.position();
        listener.onAnswered(began);
        pause(pace.get().pause(limits), this::watch);
    }

    private void applyChange(StoredObject object) {
        String name = object.name().name();
        // An answer relayed by a peer may be older than one received directly from the store.
        StorePosition known = knownPositions.get(name);
        boolean comparable = known != null && known.era().equals(object.position().era());
        if (!comparable || object.position().isAfter(known)) {
            knownPositions.put(name, object.position());
            listener.onChanged(object);
        } else if (known.isAfter(object.position())) {
            log.event(LogEvent.STORE_OBJECT_IGNORED)
                    .with("object", object.name())
                    .with("position", object.position())
                    .with("known", known)
                    .write();
        }
    }

    private void applyRemoval(String name) {
        if (knownPositions.remove(name) != null) {
            listener.onRemoved(name);
        }
    }

    private void onAnswered() {
        outage.onAnswered(timers.now());
        if (unavailable) {
            log.event(LogEvent.OBJECT_API_UP).with("kind", kind).write();
        }
        unavailable = false;
    }

    private void onWatchFailed(Instant began, Throwable failure) {
        log.event(LogEvent.STORE_WATCH_LOST)
                .with("kind", kind)
                .with("failure", failure.getMessage())
                .write();
        scheduleList(began);
        onWatchLost.run();
    }

    private void onListFailed(Instant began, Throwable failure) {
        outage.onListFailed(began);
        if (!unavailable) {
            log.event(LogEvent.OBJECT_API_DOWN)
                    .with("kind", kind)
                    .with("failure", failure.getMessage())
                    .write();
        }
        unavailable = true;
        scheduleList(began);
    }

    /**
     * Schedules a list. The next call is not another watch, because the store may no longer have
     * the history of the changes since the failure.
     *
     * @param began beginning of the call that failed, from which the backoff counts
     */
    private void scheduleList(Instant began) {
        Duration remaining = Duration.between(timers.now(), began.plus(backoff));
        pause(remaining.isNegative() ? Duration.ZERO : remaining, this::list);
        failedBefore = true;
        increaseBackoff();
    }

    /**
     * Only the answer to a watch that waits ends the backoff. Otherwise a store that answers lists
     * but no such watches would be asked without a pause.
     */
    private void increaseBackoff() {
        Duration doubled = backoff.multipliedBy(2);
        Duration longer = doubled.compareTo(MIN_BACKOFF) < 0 ? MIN_BACKOFF : doubled;
        backoff = longer.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : longer;
    }
}
