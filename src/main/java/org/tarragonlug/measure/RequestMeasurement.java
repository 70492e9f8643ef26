package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/** Measures the request decisions in virtual time beside a naive baseline. */
public final class RequestMeasurement {
    /** Servers in all runs. */
    public static final int SERVERS = 8;

    /** Most requests that may wait. */
    public static final int QUEUE_LIMIT = 500;

    private static final int SLOTS = 8;
    private static final double TOKEN_MILLIS = 40;
    private static final int MINIMUM_TOKENS = 5;
    private static final int MAXIMUM_TOKENS = 35;
    private static final int SECONDS = 60;
    private static final double SLOWDOWN_FACTOR = 5;
    private static final double LIGHT_LOAD = 0.4;
    private static final int CRASHING_REQUESTS = 20;
    private static final int BASELINE_ATTEMPTS = 3;
    private static final int BURST_REQUESTS = 60;
    private static final int STREAMS = 16;
    private static final int STREAM_TOKENS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(25);
    private static final double[] LOADS = {0.5, 1, 2, 10};

    /** Requests a second that keep all slots busy. */
    public static final double CAPACITY =
            SERVERS * SLOTS * 1_000 / (TOKEN_MILLIS * (MINIMUM_TOKENS + MAXIMUM_TOKENS) / 2);

    private RequestMeasurement() {}

    /** Runs all measurements and prints their tables. */
    public static void run(long seed, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "requests: seed=%d servers=%d slots=%d token_ms=%.0f tokens=%d..%d capacity=%.0f/s"
                        + " seconds=%d timeout_s=%d queue_limit=%d%n",
                seed,
                SERVERS,
                SLOTS,
                TOKEN_MILLIS,
                MINIMUM_TOKENS,
                MAXIMUM_TOKENS,
                CAPACITY,
                SECONDS,
                TIMEOUT.toSeconds(),
                QUEUE_LIMIT);
        out.println("times in ms; baseline: unbounded first-in-first-out queue, round robin");
        for (double load : LOADS) {
            printOverload(out, "load x" + load + " baseline", overload(seed, load, true));
            printOverload(out, "load x" + load + " result", overload(seed, load, false));
        }
        printAnswers(out, "one slow server, baseline", slowServer(seed, true));
        printAnswers(out, "one slow server, result", slowServer(seed, false));
        printAnswers(out, "cold burst, baseline", coldBurst(seed, true));
        printAnswers(out, "cold burst, result", coldBurst(seed, false));
        printGaps(out, "silence to next token, baseline", silentConnections(seed, true));
        printGaps(out, "silence to next token, result", silentConnections(seed, false));
        out.println("servers lost, baseline: " + crashingRequests(seed, true).crashes());
        out.println("servers lost, result: " + crashingRequests(seed, false).crashes());
        RequestCost.run(seed, out);
    }

    /** Runs a minute of Poisson arrivals at a multiple of the capacity. */
    public static RequestRecorder overload(long seed, double load, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation = createSimulation(seed, baseline, SLOTS, recorder);
        addServers(simulation, SLOTS, 1);
        scheduleArrivals(simulation, seed, load * CAPACITY, TIMEOUT);
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(SECONDS + 10));
        return recorder;
    }

    /** Runs a light load on servers of which one is slow. */
    public static RequestRecorder slowServer(long seed, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation =
                createSimulation(seed, baseline, Integer.MAX_VALUE, recorder);
        addServers(simulation, SLOTS, SLOWDOWN_FACTOR);
        scheduleArrivals(simulation, seed, LIGHT_LOAD * CAPACITY, LONG_TIMEOUT);
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(SECONDS + 30));
        return recorder;
    }

    /** Lets a class ask at once for a model that takes 2 s to load at a server of many slots. */
    public static RequestRecorder coldBurst(long seed, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation = createSimulation(seed, baseline, BURST_REQUESTS, recorder);
        ServerId server =
                simulation.addServer(RequestSimulation.ENGINES, BURST_REQUESTS, TOKEN_MILLIS);
        Random random = new Random(seed);
        for (int index = 0; index < BURST_REQUESTS; index++) {
            int tokens = MINIMUM_TOKENS + random.nextInt(MAXIMUM_TOKENS - MINIMUM_TOKENS + 1);
            SimulatedRequest request =
                    RequestScenario.request("b" + index, "/chat", "m", tokens, LONG_TIMEOUT);
            simulation.time().afterMillis(random.nextInt(100), () -> simulation.submit(request));
        }
        if (baseline) {
            // The baseline asks nobody to load.
            long millis = RequestFaults.NONE.loadMillis();
            ArtifactId artifact = new ArtifactId("m", "1");
            simulation.time().afterMillis(millis, () -> simulation.load(artifact, server));
        }
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(40));
        return recorder;
    }

    /** Makes the connections of one server silent while streams run. */
    public static RequestRecorder silentConnections(long seed, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation = createSimulation(seed, baseline, SLOTS, recorder);
        addServers(simulation, SLOTS, 1);
        Random random = new Random(seed);
        for (int index = 0; index < STREAMS; index++) {
            SimulatedRequest request =
                    RequestScenario.request("s" + index, "/chat", "m", STREAM_TOKENS, LONG_TIMEOUT);
            simulation.time().afterMillis(random.nextInt(500), () -> simulation.submit(request));
        }
        for (ServerId server : simulation.serverIds()) {
            simulation
                    .time()
                    .afterMillis(
                            2_000 + random.nextInt(40),
                            () -> simulation.silenceConnections(server));
        }
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(40));
        return recorder;
    }

    /** Sends a request that crashes its server, again and again, among others. */
    public static RequestRecorder crashingRequests(long seed, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation = createSimulation(seed, baseline, SLOTS, recorder);
        addServers(simulation, SLOTS, 1);
        scheduleArrivals(simulation, seed, LIGHT_LOAD * CAPACITY, TIMEOUT);
        for (int index = 0; index < CRASHING_REQUESTS; index++) {
            SimulatedRequest request =
                    new SimulatedRequest(
                            new RequestId("crash" + index),
                            RequestScenario.description(
                                    "/chat", "m", TIMEOUT, Optional.empty(), "crash"),
                            MAXIMUM_TOKENS,
                            true);
            simulation.time().afterMillis(5_000 + index * 2_000, () -> simulation.submit(request));
        }
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(SECONDS + 10));
        return recorder;
    }

    private static RequestSimulation createSimulation(
            long seed, boolean baseline, int inFlightLimit, RequestRecorder recorder) {
        StateMachine<RequestEvent, RequestCommand> machine =
                baseline
                        ? new NaiveCoordinator(inFlightLimit, BASELINE_ATTEMPTS)
                        : RequestScenario.coordinator(
                                new Random(seed),
                                (invariant, detail) -> {
                                    throw new IllegalStateException(invariant + " " + detail);
                                });
        RequestSimulation simulation =
                new RequestSimulation(machine, new Random(seed), RequestFaults.NONE, recorder);
        simulation.post(
                new RequestEvent.ConfigurationChanged(
                        RequestScenario.configuration(
                                1,
                                QUEUE_LIMIT,
                                List.of("m"),
                                RequestScenario.engineRoute("/chat", true, 1))));
        return simulation;
    }

    private static void addServers(RequestSimulation simulation, int slots, double firstSlowdown) {
        for (int index = 0; index < SERVERS; index++) {
            double millis = index == 0 ? TOKEN_MILLIS * firstSlowdown : TOKEN_MILLIS;
            ServerId server = simulation.addServer(RequestSimulation.ENGINES, slots, millis);
            simulation.load(new ArtifactId("m", "1"), server);
        }
    }

    private static void scheduleArrivals(
            RequestSimulation simulation, long seed, double perSecond, Duration timeout) {
        Random random = new Random(seed);
        double at = 0;
        int count = 0;
        while (at < SECONDS * 1_000) {
            at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
            int tokens = MINIMUM_TOKENS + random.nextInt(MAXIMUM_TOKENS - MINIMUM_TOKENS + 1);
            SimulatedRequest request =
                    RequestScenario.request("r" + count, "/chat", "m", tokens, timeout);
            simulation.time().afterMillis(at, () -> simulation.submit(request));
            count++;
        }
    }

    private static void printOverload(PrintStream out, String name, RequestRecorder recorder) {
        out.printf(
                Locale.ROOT,
                "%-26s goodput=%.1f/s answers %s refusals=%d %s most_waiting=%d%n",
                name,
                recorder.answersInTime() / (double) SECONDS,
                percentiles(recorder.answers()),
                recorder.refusals().getTotalCount(),
                percentiles(recorder.refusals()),
                recorder.maximumUnsent());
    }

    private static void printAnswers(PrintStream out, String name, RequestRecorder recorder) {
        out.printf(
                "%-26s answered=%d %s%n",
                name, recorder.answersInTime(), percentiles(recorder.answers()));
    }

    private static void printGaps(PrintStream out, String name, RequestRecorder recorder) {
        Histogram resumptions = new Histogram(3);
        recorder.tokenGaps()
                .recordedValues()
                .forEach(
                        value -> {
                            if (value.getValueIteratedTo() > 500_000) {
                                resumptions.recordValueWithCount(
                                        value.getValueIteratedTo(),
                                        value.getCountAtValueIteratedTo());
                            }
                        });
        out.printf(
                "%-26s silenced=%d resumed=%d completed=%d %s%n",
                name,
                STREAMS,
                resumptions.getTotalCount(),
                recorder.answers().getTotalCount(),
                percentiles(resumptions));
    }

    private static String percentiles(Histogram micros) {
        return String.format(
                Locale.ROOT,
                "p50=%.1f p99=%.1f max=%.1f",
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getMaxValue() / 1e3);
    }
}
