package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock that runs scheduled actions in order of time. Actions of the same time run in the
 * order in which they were scheduled.
 */
public final class VirtualTime {
    private record Scheduled(Instant at, long sequence, Runnable action) {}

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(
                    Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::sequence));
    private Instant now = Instant.EPOCH;
    private long scheduledCount;

    /** Returns the present virtual time, which starts at {@link Instant#EPOCH}. */
    public Instant now() {
        return now;
    }

    /** Schedules an action to run after a delay in virtual time. */
    public void after(Duration delay, Runnable action) {
        scheduledCount++;
        queue.add(new Scheduled(now.plus(delay), scheduledCount, action));
    }

    /** Schedules an action after a number of milliseconds. */
    public void afterMillis(double millis, Runnable action) {
        after(Duration.ofNanos((long) (millis * 1e6)), action);
    }

    /** Runs all actions due up to and including the given time, and sets the clock to it. */
    public void runUntil(Instant end) {
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            Scheduled next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
