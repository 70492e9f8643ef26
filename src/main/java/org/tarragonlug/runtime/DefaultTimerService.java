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
 * A timer service that calls all listeners on one thread of its own.
 *
 * <p>The time is the wall clock at start plus the time that the monotonic clock has measured since
 * then. Adjustments of the system clock therefore neither expire nor extend deadlines.
 *
 * <p>Periodic calls that were missed while the process was paused are skipped. If they were made in
 * a burst, listeners would assume that many periods had passed at once, for example that many
 * probes had gone unanswered.
 */
public final class DefaultTimerService implements TimerService {
    /** Returned after the service is closed, because parts may schedule timers while they stop. */
    private static final TimerHandle INACTIVE_TIMER = () -> {};

    private final ScheduledExecutorService executor;
    private final FailureListener failureListener;
    private final Instant startedAt;
    private final long startedNanos;

    /**
     * Starts the timer thread.
     *
     * @param threadFactory creates the timer thread
     * @param failureListener notified when a timer listener throws
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
                    executor.schedule(
                            () -> notifyListener(listener), toNanos(delay), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return INACTIVE_TIMER;
        }
    }

    /** Converts to nanoseconds. A delay above 292 years becomes the maximum and is never due. */
    private static long toNanos(Duration duration) {
        return TimeUnit.NANOSECONDS.convert(duration);
    }

    private void notifyListener(TimerListener listener) {
        try {
            listener.onTimerDue(now());
        } catch (RuntimeException | Error failure) {
            // The executor silently cancels a periodic task that throws.
            failureListener.onPartFailed("timer", failure);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
