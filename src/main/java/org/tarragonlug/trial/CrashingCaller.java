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
 * A caller whose request crashes each engine that runs it, and who sends it again as soon as the
 * last try has ended, each time at another instance.
 */
final class CrashingCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Time between the end of a try and the next one. */
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
     * @param platform tells which crashes a request caused
     * @param fleet where requests are sent
     * @param caller sends them
     * @param models names of models that may be asked for
     * @param progress told of each try
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

    /** Starts to send a new crashing request; the result ends that. */
    Runnable start(long seed) {
        String model = models.get(new Random(seed).nextInt(models.size()));
        String prompt = EngineSettings.CRASH_MARKER + " " + Long.toHexString(seed);
        RequestSeries series = new RequestSeries(model, prompt, new AtomicBoolean());
        scheduledRequests.add(new ScheduledRequest(series, 0, System.nanoTime()));
        return () -> series.stopped.set(true);
    }

    /** Sends the tries whose predecessors have ended; called by the thread that sends the load. */
    void sendDueRequests() {
        while (!scheduledRequests.isEmpty() && System.nanoTime() - scheduledRequests.peek().notBeforeNanos >= 0) {
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
                                    + " try "
                                    + request.number
                                    + " at "
                                    + instance.name()
                                    + " ended "
                                    + outcome
                                    + ", crashes "
                                    + platform.recorder().crashDescriptions());
                    long notBefore = System.nanoTime() + PAUSE.toNanos();
                    scheduledRequests.add(new ScheduledRequest(request.series, request.number + 1, notBefore));
                });
    }

    private static String path(Deployment deployment) {
        return deployment == Deployment.CARGAS ? "/v1/chat/completions" : "/v1/completions";
    }

    /** Reports the requests that crashed more engines than allowed. */
    void checkCrashCounts(Consumer<String> problems) {
        for (Map.Entry<String, Integer> entry : platform.recorder().crashesByPrompt().entrySet()) {
            if (entry.getValue() > MAXIMUM_CRASHES) {
                problems.accept(
                        "a crashing request took down "
                                + entry.getValue()
                                + " engines: "
                                + entry.getKey());
            }
        }
    }

    private record RequestSeries(String model, String prompt, AtomicBoolean stopped) {}

    private record ScheduledRequest(RequestSeries series, int number, long notBeforeNanos) {}
}
