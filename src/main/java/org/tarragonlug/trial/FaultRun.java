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
 * Injects the faults of a schedule while a load runs, and checks replicas and configuration
 * versions meanwhile. All faults start and end on the thread that sends the load, so that no
 * request is sent to an instance after it was killed.
 */
final class FaultRun {
    private static final int REPLICA_CHECK_MILLIS = 20;
    private static final int VERSION_CHECK_MILLIS = 500;

    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final TrialProgress progress;
    private final FaultChecker checker;
    private final FleetChanges fleetChanges;
    private final RacingOperators racingOperators;
    private final CrashingCaller crashingCaller;
    private final TrialProblems problems;
    private final List<PlannedFault> pendingFaults;
    private final PriorityQueue<ActiveFault> activeFaults = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    private long nextReplicaCheckMillis;
    private long nextVersionCheckMillis;

    /**
     * Creates the run. The times of the schedule count from this call.
     *
     * @param settings length of the run and seed of the schedule
     * @param platform the outside systems
     * @param fleet the running entry instances
     * @param connections carries the calls of operators
     * @param caller sends crashing requests
     * @param models names of models for crashing requests
     * @param progress receives a line when a fault starts or ends
     * @param problems receives the findings of the checks
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
        this.fleetChanges = new FleetChanges(platform, fleet, settings.instances(), problems);
        this.racingOperators = new RacingOperators(platform, connections);
        this.crashingCaller = new CrashingCaller(platform, fleet, caller, models, progress);
        FaultSchedule schedule = new FaultSchedule(settings.seed(), settings.seconds() * 1000L);
        this.pendingFaults = new ArrayList<>(schedule.faults());
    }

    /** Ends and starts the faults that are due, and runs the checks that are due. */
    void advance() {
        long millis = elapsedMillis();
        while (!activeFaults.isEmpty() && activeFaults.peek().fault.endMillis() <= millis) {
            end(activeFaults.poll());
        }
        for (PlannedFault fault : List.copyOf(pendingFaults)) {
            if (fault.startMillis() <= millis) {
                pendingFaults.remove(fault);
                start(fault);
            }
        }
        crashingCaller.sendDueRequests();
        if (millis >= nextReplicaCheckMillis) {
            checker.checkReplicas();
            nextReplicaCheckMillis = millis + REPLICA_CHECK_MILLIS;
        }
        if (millis >= nextVersionCheckMillis) {
            checker.checkVersions();
            nextVersionCheckMillis = millis + VERSION_CHECK_MILLIS;
        }
    }

    private void start(PlannedFault fault) {
        progress.onProgress("fault " + fault.kind() + " starts at " + elapsedMillis() + " ms");
        Random random = new Random(fault.seed());
        FaultContext context =
                new FaultContext(
                        platform, fleet, fleetChanges, racingOperators, crashingCaller, random);
        activeFaults.add(new ActiveFault(fault, fault.kind().start(context)));
    }

    private void end(ActiveFault ended) {
        ended.end.run();
        progress.onProgress("fault " + ended.fault.kind() + " ended at " + elapsedMillis() + " ms");
    }

    /**
     * Ends all faults, drops those that have not started, and checks that the system recovers.
     *
     * @param recovery checks the recovery
     */
    void finish(RecoveryCheck recovery) throws InterruptedException {
        while (!activeFaults.isEmpty()) {
            end(activeFaults.poll());
        }
        pendingFaults.clear();
        recovery.run(racingOperators.writeValidTables(), this::advance);
        crashingCaller.checkCrashCounts(problems);
    }

    /** Returns the number of instances whose drain has not ended. */
    int drainingCount() {
        return fleetChanges.drainingCount();
    }

    /** Reports the capacity records, the replicas and the state of each instance for diagnosis. */
    void reportState() {
        for (StoredObject record : platform.objectApi().peekAll("capacity")) {
            progress.onProgress("capacity record " + record.content());
        }
        progress.onProgress("held " + platform.recorder().heldReplicas());
        for (EntryInstance instance : fleet.instances()) {
            progress.onProgress(
                    "state of "
                            + instance.name()
                            + " "
                            + instance.state().toCompletableFuture().join());
        }
    }

    private long elapsedMillis() {
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
