package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.ManualTimers;

/** Watchers that must go on after a call or its handling has failed. */
class StoreWatcherFaultsTest {
    private static final ObjectName FIRST = new ObjectName("servers", "first");
    private static final ObjectName SECOND = new ObjectName("servers", "second");
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration OUTAGE = Duration.ofSeconds(2);
    private static final Duration RECOVERY = Duration.ofSeconds(4);

    private final ManualTimers timers = new ManualTimers();
    private final SilenceableStore store = new SilenceableStore(timers);
    private final Recorder recorder = new Recorder();

    /** Records the known objects, and fails when it is told to. */
    private static final class Recorder implements StoreWatcher.Listener {
        private final Set<String> known = new TreeSet<>();
        private boolean complete;
        private boolean failing;

        @Override
        public void onChanged(StoredObject object) {
            known.add(object.name().name());
            if (failing) {
                failing = false;
                throw new IllegalStateException("a fault of the listener");
            }
        }

        @Override
        public void onRemoved(String name) {
            known.remove(name);
        }

        @Override
        public void onInitialListComplete() {
            complete = true;
        }
    }

    @BeforeEach
    void storeOneObject() {
        store.put(FIRST);
    }

    private void startWatcher() {
        new StoreWatcher(
                        FIRST.kind(),
                        store,
                        Runnable::run,
                        timers,
                        new EventLog("test"),
                        WatchLimits.DEFAULT,
                        () -> WatchPace.PROMPT,
                        () -> StoreEra.NONE,
                        () -> {},
                        recorder)
                .start();
    }

    private void run(Duration time) {
        for (Instant end = timers.now().plus(time); timers.now().isBefore(end); ) {
            timers.advance(STEP);
        }
    }

    @Nested
    class FirstList {
        // Guards against an instance that never learns of any server, because its first list
        // failed.
        @ParameterizedTest
        @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
        void watcherFollowsTheStoreAfterItsFirstListFailed(SilenceableStore.Outage outage) {
            store.setOutage(outage);
            startWatcher();
            run(OUTAGE);
            assertFalse(recorder.complete);
            store.setOutage(SilenceableStore.Outage.NONE);
            run(RECOVERY);
            assertTrue(recorder.complete);
            store.put(SECOND);
            run(RECOVERY);
            assertEquals(Set.of("first", "second"), recorder.known);
        }
    }

    @Nested
    class Listener {
        // Guards against an instance that hears nothing of the store any more, because a part of it
        // could not handle one change.
        @Test
        void watcherFollowsTheStoreAfterItsListenerFailed() {
            startWatcher();
            run(RECOVERY);
            recorder.failing = true;
            store.put(FIRST);
            run(RECOVERY);
            store.put(SECOND);
            run(RECOVERY);
            assertEquals(Set.of("first", "second"), recorder.known);
        }
    }
}
