package org.tarragonlug.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.standin.StandInPlatform;

/**
 * Starts and ends the faults of a schedule while a load runs, and checks meanwhile. All faults
 * start and end on the thread that sends the load, so that nothing is sent to an instance after it
 * was killed.
 */
final class FaultRun {
    private static final int REPLICA_CHECK_MILLIS = 20;
    private static final int VERSION_CHECK_MILLIS = 500;

    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final TrialProgress progress;
    private final FaultChecker checker;
    private final FleetChanges changes;
    private final RacingOperators operators;
    private final CrashingCaller crashes;
    private final TrialProblems problems;
    private final List<PlannedFault> waiting;
    private final PriorityQueue<ActiveFault> active = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    private long replicaCheckAt;
    private long versionCheckAt;

    /**
     * Creates the run; its time starts now.
     *
     * @param settings length and seed
     * @param platform the outside systems
     * @param fleet the running entry instances
     * @param connections carries the calls of operators
     * @param caller sends crashing requests
     * @param models names of models for crashing requests
     * @param progress told of each fault
     * @param problems told of what the checks find
     */
    FaultRun(
            TrialSettings settings,
            StandInPlatform platform,
            TrialFleet fleet,
            HttpConnections connections,
            TrialCaller caller,
            List<String> models,
            TrialProgress progress,
            TrialProblems problems) {
        this.platform = platform;
        this.fleet = fleet;
        this.progress = progress;
        this.problems = problems;
        this.checker = new FaultChecker(platform, fleet, problems);
        this.changes = new FleetChanges(platform, fleet, settings.instances(), problems);
        this.operators = new RacingOperators(platform, connections);
        this.crashes = new CrashingCaller(platform, fleet, caller, models, progress);
        FaultSchedule schedule = new FaultSchedule(settings.seed(), settings.seconds() * 1000L);
        this.waiting = new ArrayList<>(schedule.faults());
    }

    /** Starts and ends what is due, and checks. */
    void advance() {
        long millis = millis();
        while (!active.isEmpty() && active.peek().fault.endMillis() <= millis) {
            end(active.poll());
        }
        for (PlannedFault fault : List.copyOf(waiting)) {
            if (fault.startMillis() <= millis) {
                waiting.remove(fault);
                start(fault);
            }
        }
        crashes.advance();
        if (millis >= replicaCheckAt) {
            checker.checkReplicas();
            replicaCheckAt = millis + REPLICA_CHECK_MILLIS;
        }
        if (millis >= versionCheckAt) {
            checker.checkVersions();
            versionCheckAt = millis + VERSION_CHECK_MILLIS;
        }
    }

    private void start(PlannedFault fault) {
        progress.progress("fault " + fault.kind() + " starts at " + millis() + " ms");
        Random random = new Random(fault.seed());
        FaultWorld world = new FaultWorld(platform, fleet, changes, operators, crashes, random);
        active.add(new ActiveFault(fault, fault.kind().start(world)));
    }

    private void end(ActiveFault ended) {
        ended.end.run();
        progress.progress("fault " + ended.fault.kind() + " ended at " + millis() + " ms");
    }

    /**
     * Ends all faults and checks that the system recovers.
     *
     * @param recovery checks it
     */
    void finish(RecoveryCheck recovery) throws InterruptedException {
        while (!active.isEmpty()) {
            end(active.poll());
        }
        waiting.clear();
        recovery.run(operators.settle(), this::advance);
        crashes.check(problems);
    }

    /** Returns the number of instances whose drain has not ended. */
    int draining() {
        return changes.draining();
    }

    /** Tells everything that helps to understand a problem. */
    void dump() {
        for (StoredObject record : platform.objectApi().peekAll("capacity")) {
            progress.progress("capacity record " + record.content());
        }
        progress.progress("held " + platform.truth().held());
        for (EntryInstance instance : fleet.instances()) {
            progress.progress(
                    "state of "
                            + instance.name()
                            + " "
                            + instance.state().toCompletableFuture().join());
        }
    }

    private long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private record ActiveFault(PlannedFault fault, Runnable end)
            implements Comparable<ActiveFault> {
        @Override
        public int compareTo(ActiveFault other) {
            return Long.compare(fault.endMillis(), other.fault.endMillis());
        }
    }
}
