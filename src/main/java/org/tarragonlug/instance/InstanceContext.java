package org.tarragonlug.instance;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.EventLoop;
import org.tarragonlug.runtime.Metrics;
import org.tarragonlug.runtime.Settings;
import org.tarragonlug.runtime.TimerHandle;
import org.tarragonlug.runtime.TimerService;

/**
 * The dependencies shared by all drivers of an instance.
 *
 * @param settings the validated settings
 * @param process id of this process
 * @param timers clock and timers
 * @param loop event loop on which all drivers run
 * @param log event log
 * @param metrics metrics of this process
 * @param hasher hash function, the same in all processes
 * @param random seeded source of random numbers; used only on the event loop
 * @param invariants listener for violated invariants
 */
record InstanceContext(
        Settings settings,
        ProcessId process,
        TimerService timers,
        EventLoop loop,
        EventLog log,
        Metrics metrics,
        Hasher hasher,
        RandomGenerator random,
        InvariantListener invariants) {
    InstanceId instance() {
        return settings.instance();
    }

    Instant now() {
        return timers.now();
    }

    /** Runs a task periodically on the event loop. */
    TimerHandle every(Duration period, Runnable task) {
        return timers.schedulePeriodically(period, due -> loop.post(task));
    }

    /** Runs a task once on the event loop, after a delay. */
    TimerHandle after(Duration delay, Runnable task) {
        return timers.scheduleOnce(delay, due -> loop.post(task));
    }

    /**
     * Calls a callback on the event loop when a stage has completed, with the value and null, or
     * with null and the failure. The value may be null too.
     */
    <T> void onLoop(CompletionStage<T> stage, BiConsumer<T, Throwable> callback) {
        stage.whenComplete((value, failure) -> loop.post(() -> callback.accept(value, failure)));
    }
}
