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

    /** Lines about answers of an earlier era, and about unreadable ones, in ten seconds. */
    private static final int LINES_PER_WINDOW = 1;

    private final StoreEraTracker tracker = new StoreEraTracker();
    private final TimerService timers;
    private final EventLog log;
    private final List<Listener> listeners = new ArrayList<>();
    private final LogBudget outdatedLines = new LogBudget(LINES_PER_WINDOW);
    private final LogBudget unreadableLines = new LogBudget(LINES_PER_WINDOW);

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
            case FIRST ->
                    log.event(LogEvent.STORE_ERA_LEARNT).with("era", tracker.current()).write();
            case CHANGED -> logChange(before);
            case OUTDATED -> logOutdated(stated);
            default -> {}
        }
        if (!before.equals(tracker.current())) {
            listeners.forEach(listener -> listener.onStoreEra(tracker.current()));
        }
        return verdict != StoreEraTracker.Verdict.OUTDATED;
    }

    private void logChange(StoreEra before) {
        log.event(LogEvent.STORE_RESTORED)
                .with("era_before", before)
                .with("era", tracker.current())
                .with("expected", before.next().equals(tracker.current()))
                .write();
    }

    private void logOutdated(StoreEra stated) {
        if (outdatedLines.tryAcquire(timers.now())) {
            log.event(LogEvent.STORE_ANSWER_OUTDATED)
                    .with("stated", stated)
                    .with("era", tracker.current())
                    .with("suppressed", outdatedLines.takeSuppressed())
                    .write();
        }
    }

    /**
     * Logs that an answer states an era that is no number. The answer counts as one of the present
     * era.
     */
    void onUnreadable(String stated) {
        if (unreadableLines.tryAcquire(timers.now())) {
            log.event(LogEvent.STORE_ERA_UNREADABLE)
                    .with("stated", stated)
                    .with("era", tracker.current())
                    .with("suppressed", unreadableLines.takeSuppressed())
                    .write();
        }
    }
}
