package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** A timer service whose time only a test advances. Periodic timers are not supported. */
public final class ManualTimers implements TimerService {
    private record PendingTimer(Instant at, TimerListener listener) {}

    private final List<PendingTimer> pendingTimers = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");

    /** Advances the time and calls the listeners of all timers that are due by then. */
    public void advance(Duration time) {
        now = now.plus(time);
        List<PendingTimer> due =
                pendingTimers.stream().filter(timer -> !timer.at().isAfter(now)).toList();
        for (PendingTimer timer : due) {
            // A listener that was called before may have cancelled the timer.
            if (pendingTimers.remove(timer)) {
                timer.listener().onTimerDue(now);
            }
        }
    }

    int pendingCount() {
        return pendingTimers.size();
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public TimerHandle schedulePeriodically(Duration period, TimerListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public TimerHandle scheduleOnce(Duration delay, TimerListener listener) {
        PendingTimer timer = new PendingTimer(now.plus(delay), listener);
        pendingTimers.add(timer);
        return () -> pendingTimers.remove(timer);
    }

    @Override
    public void close() {}
}
