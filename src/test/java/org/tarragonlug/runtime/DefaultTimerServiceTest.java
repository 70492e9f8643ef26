package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against timers that silently end, fire early or make up for a pause in a burst. */
class DefaultTimerServiceTest {
    private static final Duration PERIOD = Duration.ofMillis(20);

    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final Semaphore calls = new Semaphore(0);
    private final TimerService timers =
            new DefaultTimerService(
                    Thread::new,
                    (part, failure) -> failures.add(part + " " + failure.getMessage()));

    @AfterEach
    void close() {
        timers.close();
    }

    private void awaitCalls(int count) throws InterruptedException {
        assertTrue(calls.tryAcquire(count, 5, TimeUnit.SECONDS));
    }

    @Test
    void reportsListenerThatThrowsAndCallsItAgain() throws Exception {
        timers.schedulePeriodically(
                PERIOD,
                now -> {
                    calls.release();
                    throw new AssertionError("broken");
                });
        awaitCalls(3);
        assertEquals("timer broken", failures.get(0));
    }

    @Test
    void callsDelayedListenerOnceAndNotEarly() throws Exception {
        Instant start = timers.now();
        List<Instant> times = new CopyOnWriteArrayList<>();
        timers.scheduleOnce(
                PERIOD,
                now -> {
                    times.add(now);
                    calls.release();
                });
        awaitCalls(1);
        assertFalse(times.get(0).isBefore(start.plus(PERIOD)));
        assertFalse(calls.tryAcquire(3 * PERIOD.toMillis(), TimeUnit.MILLISECONDS));
    }

    /** A paused process got all missed calls at once, such as a probe round for each second. */
    @Test
    void skipsPeriodicCallsMissedDuringPause() throws Exception {
        CountDownLatch pause = new CountDownLatch(1);
        AtomicInteger count = new AtomicInteger();
        timers.schedulePeriodically(
                Duration.ofMillis(100),
                now -> {
                    if (count.incrementAndGet() == 1) {
                        calls.release();
                        try {
                            pause.await();
                        } catch (InterruptedException stopped) {
                            Thread.currentThread().interrupt();
                        }
                    }
                });
        awaitCalls(1);
        Thread.sleep(1_000);
        long resumed = System.nanoTime();
        pause.countDown();
        timers.scheduleOnce(Duration.ofMillis(150), now -> calls.release());
        awaitCalls(1);
        long periods = Duration.ofNanos(System.nanoTime() - resumed).toMillis() / 100;
        assertTrue(count.get() - 1 <= periods, "calls=" + count + " periods=" + periods);
    }

    @Test
    void neverFiresCancelledTimerOrDelayBeyondTimerRange() throws Exception {
        timers.scheduleOnce(PERIOD, now -> calls.release()).cancel();
        timers.schedulePeriodically(PERIOD, now -> calls.release()).cancel();
        timers.scheduleOnce(Duration.ofHours(999_999_999_999L), now -> calls.release());
        assertFalse(calls.tryAcquire(3 * PERIOD.toMillis(), TimeUnit.MILLISECONDS));
    }

    /** Parts that stop may still ask for timers; an exception there would read as a failed part. */
    @Test
    void ignoresNewTimersAfterClose() {
        timers.close();
        timers.scheduleOnce(PERIOD, now -> calls.release()).cancel();
        timers.schedulePeriodically(PERIOD, now -> calls.release()).cancel();
    }
}
