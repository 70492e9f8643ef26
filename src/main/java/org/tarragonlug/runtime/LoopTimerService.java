package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A timer service whose listeners run on the thread of an event loop that others own, so that they
 * share the state of that loop without locks.
 *
 * <p>The time is the wall clock at start plus the monotonic clock since; an adjustment of the wall
 * clock changes nothing.
 */
public final class LoopTimerService implements TimerService {
    private static final TimerSubscription NEVER = () -> {};

    private final ScheduledExecutorService loop;
    private final FailureListener failures;
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    /**
     * Creates the service.
     *
     * @param loop an event loop with one thread; not stopped here
     * @param failures told when a listener throws
     */
    public LoopTimerService(ScheduledExecutorService loop, FailureListener failures) {
        this.loop = loop;
        this.failures = failures;
    }

    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    @Override
    public TimerSubscription subscribe(Duration period, TimerListener listener) {
        try {
            long nanos = period.toNanos();
            ScheduledFuture<?> future =
                    loop.scheduleWithFixedDelay(
                            () -> call(listener), nanos, nanos, TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return NEVER;
        }
    }

    @Override
    public TimerSubscription after(Duration delay, TimerListener listener) {
        try {
            ScheduledFuture<?> future =
                    loop.schedule(() -> call(listener), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return NEVER;
        }
    }

    private void call(TimerListener listener) {
        try {
            listener.timerDue(now());
        } catch (RuntimeException | Error failure) {
            failures.failed("timer", failure);
        }
    }

    @Override
    public void close() {
        // The loop belongs to its owner.
    }
}
