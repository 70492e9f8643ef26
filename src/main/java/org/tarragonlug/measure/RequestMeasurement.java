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

/** Measures the request coordinator and a naive baseline in virtual time. */
public final class RequestMeasurement {
    /** Number of servers in all runs except the cold burst, which has one. */
    public static final int SERVERS = 8;

    /** Queue limit of the pool: the largest number of waiting requests. */
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

    /** Arrival rate that keeps all slots busy, requests per second. */
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

    /** Runs a minute of Poisson arrivals at a rate that is a multiple of {@link #CAPACITY}. */
    public static RequestRecorder overload(long seed, double load, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation = createSimulation(seed, baseline, SLOTS, recorder);
        addServers(simulation, SLOTS, 1);
        scheduleArrivals(simulation, seed, load * CAPACITY, TIMEOUT);
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(SECONDS + 10));
        return recorder;
    }

    /** Runs a light load on eight servers, one of which takes five times as long per token. */
    public static RequestRecorder slowServer(long seed, boolean baseline) {
        RequestRecorder recorder = new RequestRecorder();
        RequestSimulation simulation =
                createSimulation(seed, baseline, Integer.MAX_VALUE, recorder);
        addServers(simulation, SLOTS, SLOWDOWN_FACTOR);
        scheduleArrivals(simulation, seed, LIGHT_LOAD * CAPACITY, LONG_TIMEOUT);
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(SECONDS + 30));
        return recorder;
    }

    /**
     * Submits 60 requests within 100 ms, as at the start of a class, for a model that takes 2 s to
     * load. The only server has a slot for each request.
     */
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
            // The baseline does not report demand, so the load is scheduled here.
            long millis = RequestFaults.NONE.loadMillis();
            ArtifactId artifact = new ArtifactId("m", "1");
            simulation.time().afterMillis(millis, () -> simulation.load(artifact, server));
        }
        simulation.time().runUntil(Instant.EPOCH.plusSeconds(40));
        return recorder;
    }

    /** Makes the open connections of each server silent once, about 2 s into 16 streams. */
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

    /** Submits 20 identical requests that crash their server, 2 s apart, during a light load. */
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
                                    throw new IllegalStateException(
                                            "invariant " + invariant + " violated: " + detail);
                                });
        RequestSimulation simulation =
                new RequestSimulation(machine, new Random(seed), RequestFaults.NONE, recorder);
        simulation.handle(
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
