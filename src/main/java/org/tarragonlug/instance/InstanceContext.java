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
import org.tarragonlug.runtime.TimerService;
import org.tarragonlug.runtime.TimerHandle;

/**
 * What all drivers of an instance share.
 *
 * @param settings the checked settings
 * @param process this run of the process
 * @param timers the time
 * @param loop runs all drivers
 * @param log the event log
 * @param metrics the metrics
 * @param hasher the hash function, the same in all processes
 * @param random the seeded source of random numbers; used on the event loop alone
 * @param invariants told of violated invariants
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

    /** Calls a task on the event loop periodically. */
    TimerHandle every(Duration period, Runnable task) {
        return timers.schedulePeriodically(period, due -> loop.post(task));
    }

    /** Calls a task on the event loop once. */
    TimerHandle after(Duration delay, Runnable task) {
        return timers.scheduleOnce(delay, due -> loop.post(task));
    }

    /** Passes the end of a stage to the event loop; exactly one of the arguments is null. */
    <T> void onLoop(CompletionStage<T> stage, BiConsumer<T, Throwable> callback) {
        stage.whenComplete((value, failure) -> loop.post(() -> callback.accept(value, failure)));
    }
}
