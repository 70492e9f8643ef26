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
    private static final TimerHandle INACTIVE_TIMER = () -> {};

    private final ScheduledExecutorService loop;
    private final FailureListener failureListener;
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    /**
     * Creates the service.
     *
     * @param loop an event loop with one thread; not stopped here
     * @param failureListener told when a listener throws
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
                    loop.schedule(() -> notifyListener(listener), delay.toNanos(), TimeUnit.NANOSECONDS);
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
        // The loop belongs to its owner.
    }
}
