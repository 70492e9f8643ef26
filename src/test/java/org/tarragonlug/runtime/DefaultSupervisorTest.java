package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against parts that stay down, restart without end or keep running after a stop. */
class DefaultSupervisorTest {
    private static final RuntimeException FAULT = new IllegalStateException("broken");

    private final List<String> calls = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    private final DefaultSupervisor supervisor =
            new DefaultSupervisor(
                    "root",
                    timers,
                    new EventLog("test"),
                    (part, failure) -> calls.add("parent told of " + part));

    private final class RecordingPart implements SupervisedPart {
        private final String name;
        private int failingStarts;
        private int failingStops;

        RecordingPart(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void start() {
            calls.add("start " + name);
            if (failingStarts-- > 0) {
                throw FAULT;
            }
        }

        @Override
        public void stop() {
            calls.add("stop " + name);
            if (failingStops-- > 0) {
                throw FAULT;
            }
        }
    }

    private RecordingPart addPart(String name) {
        RecordingPart part = new RecordingPart(name);
        supervisor.add(part);
        return part;
    }

    private void assertCalls(String... expected) {
        assertEquals(List.of(expected), calls);
        calls.clear();
    }

    private void startTwoParts() throws Exception {
        addPart("a");
        addPart("b");
        supervisor.start();
        assertCalls("start a", "start b");
    }

    @Test
    void startsChildrenInOrderAndStopsThemInReverse() throws Exception {
        startTwoParts();
        supervisor.stop();
        assertCalls("stop b", "stop a");
    }

    @Test
    void restartsOnlyFailedChildAfterDoublingBackoff() throws Exception {
        startTwoParts();
        for (int millis = 100; millis <= 800; millis *= 2) {
            supervisor.onPartFailed("a", FAULT);
            timers.advance(Duration.ofMillis(millis - 1));
            assertCalls();
            timers.advance(Duration.ofMillis(1));
            assertCalls("stop a", "start a");
        }
    }

    @Test
    void failsToParentAtFifthFailureWithinMinute() throws Exception {
        startTwoParts();
        for (int count = 1; count < 5; count++) {
            supervisor.onPartFailed("a", FAULT);
            timers.advance(Duration.ofSeconds(10));
        }
        calls.clear();
        supervisor.onPartFailed("b", FAULT);
        timers.advance(Duration.ofMinutes(1));
        assertCalls("parent told of root");
    }

    @Test
    void keepsRestartingChildWithFewerThanFiveFailuresPerMinute() throws Exception {
        startTwoParts();
        for (int count = 0; count < 20; count++) {
            supervisor.onPartFailed("a", FAULT);
            timers.advance(Duration.ofSeconds(16));
            assertCalls("stop a", "start a");
        }
    }

    /** An exception that escaped the restart was blamed on the timer, and the part stayed down. */
    @Test
    void restartsChildAgainWhenItsRestartThrows() throws Exception {
        RecordingPart part = addPart("a");
        supervisor.start();
        part.failingStops = 1;
        part.failingStarts = 1;
        supervisor.onPartFailed("a", FAULT);
        timers.advance(Duration.ofMillis(100));
        assertCalls("start a", "stop a", "start a");
        timers.advance(Duration.ofMillis(200));
        assertCalls("stop a", "start a");
    }

    @Test
    void restartsChildOnceWhenItsFailureIsReportedTwice() throws Exception {
        startTwoParts();
        supervisor.onPartFailed("a", FAULT);
        supervisor.onPartFailed("a", FAULT);
        timers.advance(Duration.ofSeconds(1));
        assertCalls("stop a", "start a");
    }

    @Test
    void stopCancelsPendingRestartsAndStopsAllChildrenWhenOneThrows() throws Exception {
        addPart("a");
        addPart("b").failingStops = 1;
        supervisor.start();
        supervisor.onPartFailed("a", FAULT);
        calls.clear();
        supervisor.stop();
        assertCalls("stop b", "stop a");
        assertEquals(0, timers.pendingCount());
    }

    @Test
    void stopsStartedChildrenWhenAnotherFailsToStart() {
        addPart("a");
        addPart("b").failingStarts = 1;
        assertThrows(IllegalStateException.class, supervisor::start);
        assertCalls("start a", "start b", "stop b", "stop a");
    }
}
