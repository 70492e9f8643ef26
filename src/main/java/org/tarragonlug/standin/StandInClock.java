package org.tarragonlug.standin;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Timer shared by all stand-ins of a platform. It multiplies the nominal times of the outside
 * systems by a scale, so that a run takes less time than with the real systems. Tests may replace
 * the time.
 */
public class StandInClock implements AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;
    private final double scale;

    /**
     * Creates a clock with two timer threads.
     *
     * @param scale real seconds per nominal second
     */
    public StandInClock(double scale) {
        this.scale = scale;
        this.executor =
                new ScheduledThreadPoolExecutor(
                        2,
                        task -> {
                            Thread thread = new Thread(task, "tarragonlug-standin");
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Returns the number of real seconds per nominal second. */
    public double scale() {
        return scale;
    }

    /** Returns the timer threads, which may also serve an {@code HttpConnections}. */
    public ScheduledExecutorService executor() {
        return executor;
    }

    long nanos() {
        return System.nanoTime();
    }

    long realNanos(Duration nominal) {
        return Math.round(nominal.toNanos() * scale);
    }

    /** Schedules a task after a nominal time. */
    Future<?> after(Duration nominal, Runnable task) {
        return afterNanos(realNanos(nominal), task);
    }

    Future<?> afterNanos(long realNanos, Runnable task) {
        try {
            return executor.schedule(task, realNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Returns a stage that completes with the value after a real time. */
    <T> CompletionStage<T> delayed(Duration real, T value) {
        if (real.isZero()) {
            return CompletableFuture.completedFuture(value);
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        afterNanos(real.toNanos(), () -> result.complete(value));
        return result;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
