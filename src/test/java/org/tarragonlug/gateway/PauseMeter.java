package org.tarragonlug.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long a thread of this process had to wait for a processor. Servers of a test
 * notice that a connection was closed only when their threads run, so a finding says how long they
 * could not.
 */
final class PauseMeter implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 5;
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);

    /** A shorter wait is not kept. */
    private static final long SHORTEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A time in which the thread should have run. */
    private record Pause(long beganNanos, long endedNanos) {
        private long nanosWithin(long from, long to) {
            return Math.max(0, Math.min(endedNanos, to) - Math.max(beganNanos, from));
        }
    }

    private final List<Pause> pauses = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(this::measure, "pause-meter");

    PauseMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        long due = System.nanoTime() + INTERVAL_NANOS;
        while (!thread.isInterrupted()) {
            try {
                Thread.sleep(INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (now - due >= SHORTEST_PAUSE_NANOS) {
                pauses.add(new Pause(due, now));
            }
            due = now + INTERVAL_NANOS;
        }
    }

    /** Returns how long the thread had to wait between two times. */
    long nanosBetween(long from, long to) {
        return pauses.stream().mapToLong(pause -> pause.nanosWithin(from, to)).sum();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
