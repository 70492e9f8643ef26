package org.tarragonlug.trial;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.StandInPlatform;

/** Replaces entry instances and engines as the platform would. */
final class FleetChanges {
    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final Consumer<String> problems;
    private final AtomicInteger drainingCount = new AtomicInteger();
    private int lastInstanceNumber;

    /**
     * Creates the changes of a fleet.
     *
     * @param platform where engines run
     * @param fleet the entry instances
     * @param lastInstanceNumber the highest number given to an entry instance
     * @param problems told of an instance that could not be started
     */
    FleetChanges(
            StandInPlatform platform, TrialFleet fleet, int lastInstanceNumber, Consumer<String> problems) {
        this.platform = platform;
        this.fleet = fleet;
        this.lastInstanceNumber = lastInstanceNumber;
        this.problems = problems;
    }

    /** Starts an entry instance under an id that was not used before. */
    void startInstance() {
        lastInstanceNumber++;
        try {
            fleet.start(lastInstanceNumber);
        } catch (TarragonlugException failure) {
            problems.accept("entry-" + lastInstanceNumber + " did not start: " + failure.getMessage());
        }
    }

    /** Kills an instance; the result removes it from the instance list and starts another. */
    Runnable kill(EntryInstance instance) {
        fleet.kill(instance);
        return () -> {
            platform.instanceList().remove(instance.name());
            startInstance();
        };
    }

    /** Starts another instance and drains this one; it is stopped when its drain has ended. */
    void drain(EntryInstance instance) {
        startInstance();
        drainingCount.incrementAndGet();
        // The end is reported on a thread of the instance, which must not stop itself.
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

    /** Stops an engine; the result removes it from the instance list and starts another. */
    Runnable reclaim(EngineStandIn engine) {
        platform.reclaim(engine);
        return () -> {
            platform.instanceList().remove(engine.id().value());
            platform.addEngine();
        };
    }

    /** Announces the end of an engine; the result stops it and starts another. */
    Runnable leave(EngineStandIn engine) {
        engine.leave();
        platform.instanceList().markLeaving(engine.id().value());
        return () -> reclaim(engine).run();
    }
}
