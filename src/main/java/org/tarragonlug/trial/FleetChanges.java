package org.tarragonlug.trial;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.StandInPlatform;

/** Replaces entry instances and engines as the platform does. */
final class FleetChanges {
    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final Consumer<String> problems;
    private final AtomicInteger drainingCount = new AtomicInteger();
    private int lastInstanceNumber;

    /**
     * Creates an object that changes a fleet.
     *
     * @param platform the platform that runs the engines
     * @param fleet the entry instances
     * @param lastInstanceNumber the highest number of an entry instance so far
     * @param problems receives a message if an instance can't be started
     */
    FleetChanges(
            StandInPlatform platform,
            TrialFleet fleet,
            int lastInstanceNumber,
            Consumer<String> problems) {
        this.platform = platform;
        this.fleet = fleet;
        this.lastInstanceNumber = lastInstanceNumber;
        this.problems = problems;
    }

    /** Starts an entry instance under a new id. */
    void startInstance() {
        lastInstanceNumber++;
        try {
            fleet.start(lastInstanceNumber);
        } catch (TarragonlugException failure) {
            problems.accept(
                    "entry-" + lastInstanceNumber + " did not start: " + failure.getMessage());
        }
    }

    /**
     * Kills an instance.
     *
     * @return a task that removes the instance from the instance list and starts another
     */
    Runnable kill(EntryInstance instance) {
        fleet.kill(instance);
        return () -> {
            platform.instanceList().remove(instance.name());
            startInstance();
        };
    }

    /**
     * Starts a replacement and drains the instance. The instance stops when its drain has ended.
     */
    void drain(EntryInstance instance) {
        startInstance();
        drainingCount.incrementAndGet();
        // The drain completes on a thread of the instance. That thread must not stop the instance,
        // so another thread does.
        fleet.drain(instance)
                .thenRun(() -> new Thread(() -> retire(instance), "trial-retire").start());
    }

    private void retire(EntryInstance instance) {
        fleet.retire(instance);
        drainingCount.decrementAndGet();
    }

    /** Returns the number of instances whose drain has not ended. */
    int drainingCount() {
        return drainingCount.get();
    }

    /**
     * Stops an engine without warning.
     *
     * @return a task that removes the engine from the instance list and starts another
     */
    Runnable reclaim(EngineStandIn engine) {
        platform.reclaim(engine);
        return () -> {
            platform.instanceList().remove(engine.id().value());
            platform.addEngine();
        };
    }

    /**
     * Announces that an engine is leaving.
     *
     * @return a task that stops the engine, removes it from the instance list and starts another
     */
    Runnable leave(EngineStandIn engine) {
        engine.leave();
        platform.instanceList().markLeaving(engine.id().value());
        return () -> reclaim(engine).run();
    }
}
