package org.tarragonlug.trial;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.EngineSettings;
import org.tarragonlug.standin.StandInPlatform;

/**
 * A caller whose request crashes each engine that runs it. The caller repeats the request shortly
 * after it has ended, each time at the next instance.
 */
final class CrashingCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Time between the end of a request and its repetition. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    private static final int TOKENS = 8;
    private static final int MAXIMUM_REQUESTS = 40;
    private static final int MAXIMUM_CRASHES = 2;

    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final TrialCaller caller;
    private final List<String> models;
    private final TrialProgress progress;
    private final Queue<ScheduledRequest> scheduledRequests = new ConcurrentLinkedQueue<>();

    /**
     * Creates the caller.
     *
     * @param platform records the crashes that requests caused
     * @param fleet the entry instances that receive the requests
     * @param caller sends the requests
     * @param models names of the models to request
     * @param progress receives a line when a request has ended
     */
    CrashingCaller(
            StandInPlatform platform,
            TrialFleet fleet,
            TrialCaller caller,
            List<String> models,
            TrialProgress progress) {
        this.platform = platform;
        this.fleet = fleet;
        this.caller = caller;
        this.models = List.copyOf(models);
        this.progress = progress;
    }

    /**
     * Schedules a new crashing request and its repetitions.
     *
     * @return a task that stops the repetitions
     */
    Runnable start(long seed) {
        String model = models.get(new Random(seed).nextInt(models.size()));
        String prompt = EngineSettings.CRASH_MARKER + " " + Long.toHexString(seed);
        RequestSeries series = new RequestSeries(model, prompt, new AtomicBoolean());
        scheduledRequests.add(new ScheduledRequest(series, 0, System.nanoTime()));
        return () -> series.stopped.set(true);
    }

    /** Sends the requests that are due. Must be called on the thread that sends the load. */
    void sendDueRequests() {
        while (!scheduledRequests.isEmpty()
                && System.nanoTime() - scheduledRequests.peek().notBeforeNanos >= 0) {
            ScheduledRequest next = scheduledRequests.poll();
            List<EntryInstance> receivers = fleet.balancerTargets();
            boolean more = !next.series.stopped.get() && next.number < MAXIMUM_REQUESTS;
            if (more && !receivers.isEmpty()) {
                send(next, receivers.get(next.number % receivers.size()));
            }
        }
    }

    private void send(ScheduledRequest request, EntryInstance instance) {
        caller.generate(
                instance.callerAddress(),
                path(platform.deployment()),
                request.series.model,
                request.series.prompt,
                TOKENS,
                TIMEOUT,
                false,
                outcome -> {
                    progress.onProgress(
                            request.series.prompt
                                    + " request "
                                    + request.number
                                    + " at "
                                    + instance.name()
                                    + " ended with "
                                    + outcome
                                    + ", crashes "
                                    + platform.recorder().crashDescriptions());
                    long notBefore = System.nanoTime() + PAUSE.toNanos();
                    scheduledRequests.add(
                            new ScheduledRequest(request.series, request.number + 1, notBefore));
                });
    }

    private static String path(Deployment deployment) {
        return deployment == Deployment.CARGAS ? "/v1/chat/completions" : "/v1/completions";
    }

    /** Reports the requests that crashed more than {@link #MAXIMUM_CRASHES} engines. */
    void checkCrashCounts(Consumer<String> problems) {
        for (Map.Entry<String, Integer> entry : platform.recorder().crashesByPrompt().entrySet()) {
            if (entry.getValue() > MAXIMUM_CRASHES) {
                problems.accept(
                        "a crashing request crashed "
                                + entry.getValue()
                                + " engines, more than "
                                + MAXIMUM_CRASHES
                                + ": "
                                + entry.getKey());
            }
        }
    }

    private record RequestSeries(String model, String prompt, AtomicBoolean stopped) {}

    private record ScheduledRequest(RequestSeries series, int number, long notBeforeNanos) {}
}
