package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ManualTimersTest {
    private static final Duration DELAY = Duration.ofMillis(10);

    /** Guards against simulations in which a cancelled timer still ends the step after it. */
    @Test
    void timerThatIsCancelledByOneOfTheSameTimeIsNotCalled() {
        ManualTimers timers = new ManualTimers();
        List<String> called = new ArrayList<>();
        List<TimerHandle> second = new ArrayList<>();
        timers.scheduleOnce(DELAY, now -> second.get(0).cancel());
        second.add(timers.scheduleOnce(DELAY, now -> called.add("second")));
        timers.scheduleOnce(DELAY, now -> called.add("third"));
        timers.advance(DELAY);
        assertEquals(List.of("third"), called);
    }
}
