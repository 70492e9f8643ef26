package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in order of time, those of the same time in order of scheduling. */
public final class VirtualTime {
    private record Scheduled(Instant at, long sequence, Runnable action) {}

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(
                    Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::sequence));
    private Instant now = Instant.EPOCH;
    private long scheduledCount;

    /** Returns the present virtual time. */
    public Instant now() {
        return now;
    }

    /** Schedules an action. */
    public void after(Duration delay, Runnable action) {
        scheduledCount++;
        queue.add(new Scheduled(now.plus(delay), scheduledCount, action));
    }

    /** Schedules an action after a number of milliseconds. */
    public void afterMillis(double millis, Runnable action) {
        after(Duration.ofNanos((long) (millis * 1e6)), action);
    }

    /** Runs everything that is due until the given time, and advances to it. */
    public void runUntil(Instant end) {
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            Scheduled next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
