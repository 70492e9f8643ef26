package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * A timer service on one daemon thread.
 *
 * <p>The time is the wall clock at start plus the monotonic clock since, so that an adjustment of
 * the system clock neither expires deadlines nor extends them.
 *
 * <p>Calls missed while the process was paused are not made up for: a burst of them would read as
 * many periods passing at once, such as many unanswered probes.
 */
public final class DefaultTimerService implements TimerService {
    /** Returned after the service was closed: parts may still ask for timers while they stop. */
    private static final TimerHandle INACTIVE_TIMER = () -> {};

    private final ScheduledExecutorService executor;
    private final FailureListener failureListener;
    private final Instant startedAt;
    private final long startedNanos;

    /**
     * Starts the timer thread.
     *
     * @param threadFactory makes the timer thread
     * @param failureListener told when a listener throws
     */
    public DefaultTimerService(ThreadFactory threadFactory, FailureListener failureListener) {
        this.executor = Executors.newSingleThreadScheduledExecutor(threadFactory);
        this.failureListener = failureListener;
        this.startedAt = Instant.now();
        this.startedNanos = System.nanoTime();
    }

    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    @Override
    public TimerHandle schedulePeriodically(Duration period, TimerListener listener) {
        long nanos = toNanos(period);
        try {
            ScheduledFuture<?> future =
                    executor.scheduleWithFixedDelay(
                            () -> notifyListener(listener), nanos, nanos, TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return INACTIVE_TIMER;
        }
    }

    @Override
    public TimerHandle scheduleOnce(Duration delay, TimerListener listener) {
        try {
            ScheduledFuture<?> future =
                    executor.schedule(() -> notifyListener(listener), toNanos(delay), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return INACTIVE_TIMER;
        }
    }

    /** Converts a duration; one too long for the timer, above 292 years, is never due. */
    private static long toNanos(Duration duration) {
        return TimeUnit.NANOSECONDS.convert(duration);
    }

    private void notifyListener(TimerListener listener) {
        try {
            listener.onTimerDue(now());
        } catch (RuntimeException | Error failure) {
            // What escapes would silently end the periodic task.
            failureListener.onPartFailed("timer", failure);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
