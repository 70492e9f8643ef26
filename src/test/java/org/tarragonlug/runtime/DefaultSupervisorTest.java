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

    private final class Part implements SupervisedPart {
        private final String name;
        private int brokenStarts;
        private int brokenStops;

        Part(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void start() {
            calls.add("start " + name);
            if (brokenStarts-- > 0) {
                throw FAULT;
            }
        }

        @Override
        public void stop() {
            calls.add("stop " + name);
            if (brokenStops-- > 0) {
                throw FAULT;
            }
        }
    }

    private Part add(String name) {
        Part part = new Part(name);
        supervisor.add(part);
        return part;
    }

    private void assertCalls(String... expected) {
        assertEquals(List.of(expected), calls);
        calls.clear();
    }

    private void startAll() throws Exception {
        add("a");
        add("b");
        supervisor.start();
        assertCalls("start a", "start b");
    }

    @Test
    void startsInOrderAndStopsInReverse() throws Exception {
        startAll();
        supervisor.stop();
        assertCalls("stop b", "stop a");
    }

    @Test
    void restartsTheFailedChildAloneAfterADoublingBackoff() throws Exception {
        startAll();
        for (int millis = 100; millis <= 800; millis *= 2) {
            supervisor.failed("a", FAULT);
            timers.advance(Duration.ofMillis(millis - 1));
            assertCalls();
            timers.advance(Duration.ofMillis(1));
            assertCalls("stop a", "start a");
        }
    }

    @Test
    void givesUpAtTheFifthFailureInAMinute() throws Exception {
        startAll();
        for (int count = 1; count < 5; count++) {
            supervisor.failed("a", FAULT);
            timers.advance(Duration.ofSeconds(10));
        }
        calls.clear();
        supervisor.failed("b", FAULT);
        timers.advance(Duration.ofMinutes(1));
        assertCalls("parent told of root");
    }

    @Test
    void forgetsFailuresOlderThanAMinute() throws Exception {
        startAll();
        for (int count = 0; count < 20; count++) {
            supervisor.failed("a", FAULT);
            timers.advance(Duration.ofSeconds(16));
            assertCalls("stop a", "start a");
        }
    }

    /** An exception that escaped the restart was blamed on the timer, and the part stayed down. */
    @Test
    void childWhoseRestartThrowsIsRestartedAgain() throws Exception {
        Part part = add("a");
        supervisor.start();
        part.brokenStops = 1;
        part.brokenStarts = 1;
        supervisor.failed("a", FAULT);
        timers.advance(Duration.ofMillis(100));
        assertCalls("start a", "stop a", "start a");
        timers.advance(Duration.ofMillis(200));
        assertCalls("stop a", "start a");
    }

    @Test
    void twoReportsOfOneFailureCauseOneRestart() throws Exception {
        startAll();
        supervisor.failed("a", FAULT);
        supervisor.failed("a", FAULT);
        timers.advance(Duration.ofSeconds(1));
        assertCalls("stop a", "start a");
    }

    @Test
    void stopEndsPendingRestartsAndSurvivesAChildThatThrows() throws Exception {
        add("a");
        add("b").brokenStops = 1;
        supervisor.start();
        supervisor.failed("a", FAULT);
        calls.clear();
        supervisor.stop();
        assertCalls("stop b", "stop a");
        assertEquals(0, timers.pending());
    }

    @Test
    void startThatThrowsStopsWhatRuns() {
        add("a");
        add("b").brokenStarts = 1;
        assertThrows(IllegalStateException.class, supervisor::start);
        assertCalls("start a", "start b", "stop b", "stop a");
    }
}
