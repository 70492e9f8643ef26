package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.watching.StoreEraTracker;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Tells the parts of an instance when the store has come back from another copy, so that each can
 * judge what it remembers. Called on the event loop.
 */
final class StoreEraMonitor {
    /** A part that remembers something of the store. */
    interface Listener {
        /**
         * Called before the first answer of an era is used.
         *
         * @param era the present era
         */
        void onStoreEra(StoreEra era);
    }

    private final StoreEraTracker tracker = new StoreEraTracker();
    private final TimerService timers;
    private final EventLog log;
    private final List<Listener> listeners = new ArrayList<>();
    private boolean contradicted;

    StoreEraMonitor(TimerService timers, EventLog log) {
        this.timers = timers;
        this.log = log;
    }

    /** Adds a part that is told of each era, in the order in which parts were added. */
    void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the present era; {@link StoreEra#NONE} if the store has stated none. */
    StoreEra current() {
        return tracker.current();
    }

    /**
     * Learns from an answer of the store, received directly or through a peer.
     *
     * @param stated the era in the answer
     * @param began when the call began
     * @return whether the answer is of the present era
     */
    boolean accepts(StoreEra stated, Instant began) {
        StoreEra before = tracker.current();
        StoreEraTracker.Verdict verdict = tracker.onAnswer(stated, began, timers.now());
        switch (verdict) {
            case CURRENT -> contradicted = false;
            case FIRST ->
                    log.event(LogEvent.STORE_ERA_LEARNT).with("era", tracker.current()).write();
            case CHANGED -> logChange(before);
            case OUTDATED -> logOutdated(stated);
        }
        if (!before.equals(tracker.current())) {
            listeners.forEach(listener -> listener.onStoreEra(tracker.current()));
        }
        return verdict != StoreEraTracker.Verdict.OUTDATED;
    }

    private void logChange(StoreEra before) {
        contradicted = false;
        log.event(LogEvent.STORE_RESTORED)
                .with("era_before", before)
                .with("era", tracker.current())
                .with("expected", before.next().equals(tracker.current()))
                .write();
    }

    /** Logs the first of several answers of an earlier era. */
    private void logOutdated(StoreEra stated) {
        if (!contradicted) {
            log.event(LogEvent.STORE_ANSWER_OUTDATED)
                    .with("stated", stated)
                    .with("era", tracker.current())
                    .write();
        }
        contradicted = true;
    }
}
