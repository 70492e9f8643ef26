package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Timers whose time a test moves; periodic ones are not needed. */
public final class ManualTimers implements TimerService {
    private record Due(Instant at, TimerListener listener) {}

    private final List<Due> timers = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");

    /** Moves the time on and calls what is due. */
    public void advance(Duration time) {
        now = now.plus(time);
        List<Due> due = timers.stream().filter(timer -> !timer.at().isAfter(now)).toList();
        timers.removeAll(due);
        due.forEach(timer -> timer.listener().timerDue(now));
    }

    int pending() {
        return timers.size();
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public TimerSubscription subscribe(Duration period, TimerListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public TimerSubscription after(Duration delay, TimerListener listener) {
        Due timer = new Due(now.plus(delay), listener);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public void close() {}
}
