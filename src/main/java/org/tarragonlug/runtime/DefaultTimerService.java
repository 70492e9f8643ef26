package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * A timer service on one daemon thread.
 *
 * <p>The time is the wall clock at start plus the monotonic clock since, so that an adjustment of
 * the system clock neither expires deadlines nor extends them.
 */
public final class DefaultTimerService implements TimerService {
    private final ScheduledExecutorService executor;
    private final FailureListener failures;
    private final Instant startedAt;
    private final long startedNanos;

    /**
     * Starts the timer thread.
     *
     * @param threadFactory makes the timer thread
     * @param failures told when a listener throws
     */
    public DefaultTimerService(ThreadFactory threadFactory, FailureListener failures) {
        this.executor = Executors.newSingleThreadScheduledExecutor(threadFactory);
        this.failures = failures;
        this.startedAt = Instant.now();
        this.startedNanos = System.nanoTime();
    }

    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    @Override
    public TimerSubscription subscribe(Duration period, TimerListener listener) {
        long nanos = period.toNanos();
        ScheduledFuture<?> future =
                executor.scheduleAtFixedRate(
                        () -> call(listener), nanos, nanos, TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public TimerSubscription after(Duration delay, TimerListener listener) {
        ScheduledFuture<?> future =
                executor.schedule(() -> call(listener), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    private void call(TimerListener listener) {
        try {
            listener.timerDue(now());
        } catch (RuntimeException failure) {
            // An exception that escapes would silently end the periodic task.
            failures.failed("timer", failure);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
