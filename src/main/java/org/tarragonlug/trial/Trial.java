package org.tarragonlug.trial;

import io.servicetalk.transport.api.IoExecutor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpLimits;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.StandInPlatform;

/**
 * Runs entry instances and stand-ins in this process. The trial sends a burst of requests for a
 * cold model to all instances, then a stream of requests for models and adapters and of calls that
 * must run at most once.
 *
 * <p>The times of loads and tokens are scaled down, so that a trial of some seconds includes many
 * of them.
 */
public final class Trial {
    /** Real seconds per nominal second of load and token times. */
    private static final double SCALE = 0.1;

    private static final int IO_THREADS = 4;
    private static final int BURST_PER_INSTANCE = 4;
    private static final int POPULAR_ARTIFACTS = 24;
    private static final Duration READY_LIMIT = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(25);
    private static final int RECOVERY_TOKENS = 8;

    private final TrialSettings settings;
    private final TrialProgress progress;
    private final Random random;
    private final TrialTally tally = new TrialTally();
    private final TrialProblems problems;
    private final Set<String> requestedModels = new TreeSet<>();
    private int keyCount;

    /**
     * Creates a trial without starting anything.
     *
     * @param settings size, load and seed of the trial
     * @param progress receives a line for each step and each problem
     */
    public Trial(TrialSettings settings, TrialProgress progress) {
        this.settings = settings;
        this.progress = progress;
        this.problems = new TrialProblems(progress);
        this.random = new Random(settings.seed());
    }

    /**
     * Runs the trial.
     *
     * @return the counts and the problems found
     * @throws TarragonlugException if the instances do not start or do not become ready in time
     * @throws InterruptedException if the thread is interrupted
     */
    public TrialResult run() throws TarragonlugException, InterruptedException {
        IoExecutor ioExecutor = IoThreads.create(IO_THREADS);
        IoExecutor adminExecutor = IoThreads.create(1);
        try (StandInPlatform platform =
                        new StandInPlatform(settings.deployment(), ioExecutor, SCALE);
                TrialFleet fleet =
                        new TrialFleet(platform, ioExecutor, adminExecutor, settings.seed());
                HttpConnections connections =
                        new HttpConnections(
                                ioExecutor, platform.clock().executor(), HttpLimits.DEFAULT)) {
            startFleet(fleet);
            TrialCaller caller = new TrialCaller(connections, fleet, tally, problems);
            sendBurst(platform, fleet, caller);
            if (settings.faults()) {
                runFaults(platform, fleet, connections, caller);
            } else {
                sendStream(platform, fleet, caller, () -> {});
                awaitOutcomes();
            }
            return createResult(platform, fleet);
        } finally {
            ioExecutor.closeAsync().subscribe();
            adminExecutor.closeAsync().subscribe();
        }
    }

    private void runFaults(
            StandInPlatform platform,
            TrialFleet fleet,
            HttpConnections connections,
            TrialCaller caller)
            throws InterruptedException {
        List<String> models =
                popularArtifacts(platform.deployment()).stream()
                        .filter(limit -> !limit.isAdapter())
                        .map(limit -> limit.artifact().name())
                        .toList();
        FaultRun faults =
                new FaultRun(
                        settings, platform, fleet, connections, caller, models, progress, problems);
        sendStream(platform, fleet, caller, faults::advance);
        faults.finish(
                new RecoveryCheck(
                        fleet,
                        (instance, model, timeout, atEnd) ->
                                caller.generate(
                                        instance.callerAddress(),
                                        generationPath(),
                                        model,
                                        "Served again?",
                                        RECOVERY_TOKENS,
                                        timeout,
                                        false,
                                        atEnd),
                        requestedModels,
                        problems));
        awaitOutcomes();
        awaitDrains(faults);
        // Repeats the checks, so that problems of the final requests and drains are found too.
        faults.advance();
        long violations = fleet.violations();
        if (violations > 0) {
            problems.accept(violations + " invariant violations, see the log for details");
        }
        checkIdempotencyKeys(platform);
        if (!problems.all().isEmpty()) {
            faults.reportState();
        }
    }

    private void checkIdempotencyKeys(StandInPlatform platform) {
        Map<String, Integer> runs = platform.serviceRuns();
        runs.forEach(
                (key, count) -> {
                    if (count > 1) {
                        problems.accept(key + " ran " + count + " times");
                    }
                });
        for (String key : tally.keysNotRun()) {
            if (runs.containsKey(key)) {
                problems.accept(key + " ran although each request was answered \"not run\"");
            }
        }
        for (String key : tally.keysAnswered()) {
            if (!runs.containsKey(key)) {
                problems.accept(key + " was answered with success although it never ran");
            }
        }
    }

    private void awaitDrains(FaultRun faults) throws InterruptedException {
        long end = System.nanoTime() + DRAIN_LIMIT.toNanos();
        while (faults.drainingCount() > 0 && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        if (faults.drainingCount() > 0) {
            problems.accept(
                    faults.drainingCount()
                            + " instances did not finish draining within "
                            + DRAIN_LIMIT);
        }
    }

    private void startFleet(TrialFleet fleet) throws TarragonlugException, InterruptedException {
        progress.onProgress("seed " + settings.seed());
        progress.onProgress("starting " + settings.instances() + " entry instances");
        for (int number = 1; number <= settings.instances(); number++) {
            fleet.start(number);
        }
        if (!fleet.awaitReady(READY_LIMIT)) {
            throw new TarragonlugException(
                    ErrorCode.NOT_READY,
                    "not all of "
                            + settings.instances()
                            + " instances were ready within "
                            + READY_LIMIT);
        }
    }

    private void sendBurst(StandInPlatform platform, TrialFleet fleet, TrialCaller caller)
            throws InterruptedException {
        long writesBefore = platform.objectApi().counts().writes();
        String model = popularArtifacts(platform.deployment()).get(0).artifact().name();
        progress.onProgress("burst for cold model " + model + " at all instances");
        for (EntryInstance instance : fleet.instances()) {
            for (int copy = 0; copy < BURST_PER_INSTANCE; copy++) {
                generate(platform, caller, instance, model, "What is the safe load?");
            }
        }
        awaitOutcomes();
        long writes = platform.objectApi().counts().writes() - writesBefore;
        progress.onProgress("burst answered; writes to the object API: " + writes);
    }

    private void sendStream(
            StandInPlatform platform, TrialFleet fleet, TrialCaller caller, Runnable step)
            throws InterruptedException {
        long periodNanos = 1_000_000_000L / settings.requestsPerSecond();
        long start = System.nanoTime();
        int total = settings.seconds() * settings.requestsPerSecond();
        for (int index = 0; index < total; index++) {
            long wait = start + index * periodNanos - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
            step.run();
            sendRandomRequest(platform, fleet, caller, index);
            if (index % (settings.requestsPerSecond() * 5) == 0) {
                progress.onProgress("sent " + tally.sentCount() + ", ended " + tally.endedCount());
            }
        }
    }

    private void sendRandomRequest(
            StandInPlatform platform, TrialFleet fleet, TrialCaller caller, int index) {
        List<EntryInstance> instances = fleet.balancerTargets();
        if (instances.isEmpty()) {
            return;
        }
        EntryInstance instance = instances.get(random.nextInt(instances.size()));
        int kind = random.nextInt(100);
        if (kind < 15) {
            sendAtMostOnceCall(platform, instances, caller);
        } else if (kind < 25) {
            String path = servicePath(platform.deployment(), true) + "/" + index;
            caller.call(instance.callerAddress(), path, "", "", SERVICE_TIMEOUT);
        } else {
            List<ArtifactLimit> popular = popularArtifacts(platform.deployment());
            // The product of two uniform random numbers makes the first artifacts of the list more
            // popular.
            int rank = (int) (random.nextDouble() * random.nextDouble() * popular.size());
            String model = popular.get(rank).artifact().name();
            generate(platform, caller, instance, model, "Question " + index);
        }
    }

    /**
     * Sends a call that must run at most once. The same call is sent one to three times, each time
     * to a random instance.
     */
    private void sendAtMostOnceCall(
            StandInPlatform platform, List<EntryInstance> instances, TrialCaller caller) {
        keyCount++;
        String key = "key-" + settings.seed() + "-" + keyCount;
        int sendCount = 1 + random.nextInt(3);
        for (int send = 0; send < sendCount; send++) {
            EntryInstance instance = instances.get(random.nextInt(instances.size()));
            caller.call(
                    instance.callerAddress(),
                    servicePath(platform.deployment(), false),
                    key,
                    "{\"record\":" + keyCount + "}",
                    SERVICE_TIMEOUT);
        }
    }

    private static String servicePath(Deployment deployment, boolean idempotent) {
        return switch (deployment) {
            case CARGAS -> idempotent ? "/records/progress" : "/records/certificates";
            case SOLANO -> idempotent ? "/dispatch/status" : "/dispatch/trucks";
        };
    }

    /** Returns the artifacts that the trial requests: the first models and the first adapters. */
    private static List<ArtifactLimit> popularArtifacts(Deployment deployment) {
        List<ArtifactLimit> all = deployment.artifacts();
        List<ArtifactLimit> models = all.stream().filter(a -> !a.isAdapter()).limit(16).toList();
        List<ArtifactLimit> adapters =
                all.stream()
                        .filter(ArtifactLimit::isAdapter)
                        .limit(POPULAR_ARTIFACTS - models.size())
                        .toList();
        List<ArtifactLimit> popular = new ArrayList<>(models);
        popular.addAll(adapters);
        return popular;
    }

    private String generationPath() {
        return settings.deployment() == Deployment.CARGAS
                ? "/v1/chat/completions"
                : "/v1/completions";
    }

    private void generate(
            StandInPlatform platform,
            TrialCaller caller,
            EntryInstance instance,
            String model,
            String question) {
        ArtifactId artifact = ArtifactId.parse(model);
        boolean cold =
                platform.recorder().loaded().values().stream()
                        .noneMatch(loaded -> loaded.contains(artifact));
        requestedModels.add(model);
        caller.generate(
                instance.callerAddress(),
                generationPath(),
                model,
                question,
                8 + random.nextInt(16),
                TIMEOUT,
                cold);
    }

    private void awaitOutcomes() throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.plusSeconds(2).toNanos();
        while (tally.endedCount() < tally.sentCount() && System.nanoTime() < end) {
            Thread.sleep(20);
        }
    }

    private TrialResult createResult(StandInPlatform platform, TrialFleet fleet) {
        Map<String, Integer> runs = platform.serviceRuns();
        Set<String> notRun = tally.keysNotRun();
        int unanswered = tally.sentCount() - tally.endedCount();
        return new TrialResult(
                settings,
                tally.sentCount(),
                tally.count(TrialOutcome.ANSWERED),
                tally.refusals(),
                tally.count(TrialOutcome.WRONG),
                tally.firstWrong(),
                tally.count(TrialOutcome.LOST) + unanswered,
                tally.count(TrialOutcome.BROKEN_BY_KILL),
                problems.all(),
                (int) runs.values().stream().filter(count -> count > 1).count(),
                (int) notRun.stream().filter(runs::containsKey).count(),
                (int) tally.keysAnswered().stream().filter(key -> !runs.containsKey(key)).count(),
                countRecordedSlots(platform),
                platform.recorder().loaded().values().stream().mapToInt(Set::size).sum(),
                countArtifactsAboveLimit(platform),
                platform.recorder().overcommits(),
                fleet.violations(),
                platform.weightStore().loadCounts().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                platform.objectApi().counts().writes(),
                platform.recorder().idleSeconds().values().stream()
                                .mapToDouble(Double::doubleValue)
                                .sum()
                        / SCALE,
                tally.coldStarts(),
                tally.firstTokens());
    }

    private static int countRecordedSlots(StandInPlatform platform) {
        ObjectName name = new ObjectName("capacity", platform.deployment().engineGroup().value());
        StoredObject record = platform.objectApi().peek(name);
        return record.content().path("slots").size();
    }

    private static int countArtifactsAboveLimit(StandInPlatform platform) {
        Map<ArtifactId, Integer> limits = new HashMap<>();
        platform.deployment()
                .artifacts()
                .forEach(limit -> limits.put(limit.artifact(), limit.maximumReplicas()));
        return (int)
                platform.recorder().highestReplicas().entrySet().stream()
                        .filter(entry -> entry.getValue() > limits.get(entry.getKey()))
                        .count();
    }
}
