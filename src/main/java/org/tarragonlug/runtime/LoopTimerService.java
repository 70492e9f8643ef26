package org.tarragonlug.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A timer service that calls its listeners on the thread of an existing event loop, so that they
 * can use the state of that loop without locks.
 *
 * <p>The time is the wall clock at start plus the time that the monotonic clock has measured since
 * then. Adjustments of the wall clock have no effect.
 */
public final class LoopTimerService implements TimerService {
    /** Returned when the event loop accepts no more tasks. */
    private static final TimerHandle INACTIVE_TIMER = () -> {};

    private final ScheduledExecutorService loop;
    private final FailureListener failureListener;
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    /**
     * Creates the service.
     *
     * @param loop an event loop with one thread; {@link #close()} does not stop it
     * @param failureListener notified when a timer listener throws
     */
    public LoopTimerService(ScheduledExecutorService loop, FailureListener failureListener) {
        this.loop = loop;
        this.failureListener = failureListener;
    }

    @Override
    public Instant now() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    @Override
    public TimerHandle schedulePeriodically(Duration period, TimerListener listener) {
        try {
            long nanos = period.toNanos();
            ScheduledFuture<?> future =
                    loop.scheduleWithFixedDelay(
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
                    loop.schedule(
                            () -> notifyListener(listener), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException closed) {
            return INACTIVE_TIMER;
        }
    }

    private void notifyListener(TimerListener listener) {
        try {
            listener.onTimerDue(now());
        } catch (RuntimeException | Error failure) {
            failureListener.onPartFailed("timer", failure);
        }
    }

    @Override
    public void close() {
        // The loop is stopped by the part that created it.
    }
}
