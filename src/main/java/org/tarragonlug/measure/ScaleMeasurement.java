package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.request.ColdStart;
import org.tarragonlug.decision.request.DefaultRequestCoordinator;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestDescription;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.decision.request.RequestSettings;
import org.tarragonlug.decision.request.ServerDescription;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.peer.PeerCodec;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.Hash4jHasher;

/**
 * Measures how the cost of the decision classes grows with the size of their state, at three or
 * more sizes each. The figures in docs/CAPACITY.md are based on the results.
 *
 * <p>Times are wall-clock times of the decision classes alone, without the connectors to other
 * systems. Each time is measured after a warm-up with the same work.
 */
public final class ScaleMeasurement {
    private static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
    private static final int TOKENS = 100;
    private static final int ROUNDS = 3;
    private static final int SERVERS = 128;
    private static final double NANOS_PER_MICRO = 1e3;

    private final long seed;
    private final PrintStream out;
    private final Hasher hasher = new Hash4jHasher();

    private ScaleMeasurement(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    /**
     * Runs all measurements and prints their results.
     *
     * @param seed seed of the random choices
     * @param out receives the results
     */
    public static void run(long seed, PrintStream out) {
        ScaleMeasurement measurement = new ScaleMeasurement(seed, out);
        out.println("scale measurement, seed " + seed);
        measurement.measureRequests();
        measurement.measureTables();
        new PlannerMeasurement(seed, out).run();
        measurement.measureMessages();
    }

    private void measureMessages() {
        out.println("messages between instances: frame bytes");
        PeerCodec codec = new PeerCodec(new ProcessId("entry-123-1796365880308"));
        for (int count : new int[] {1, 10, 40}) {
            List<Demand> demands = new ArrayList<>();
            List<PeerMessage.ArtifactReplicas> replicas = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                ArtifactId artifact = new ArtifactId("lessons-model-" + index, "1");
                demands.add(new Demand(artifact, 0, 2, 7, START, Priority.NORMAL));
                ServerId server = new ServerId("tutoring-" + index);
                replicas.add(
                        new PeerMessage.ArtifactReplicas(
                                artifact, List.of(server), false, false, Duration.ZERO));
            }
            out.printf(
                    Locale.ROOT,
                    "  artifacts=%d demand_report=%d replicas_changed=%d%n",
                    count,
                    codec.encode(new PeerMessage.DemandReport(1, ScaleTables.group(0), demands))
                            .length,
                    codec.encode(new PeerMessage.ReplicasChanged(1, ScaleTables.group(0), replicas))
                            .length);
        }
    }

    private void measureRequests() {
        out.println("request coordinator: processor time by requests in progress");
        for (int inProgress : new int[] {10, 100, 1000, 4000}) {
            double best = Double.MAX_VALUE;
            double bestToken = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                double[] micros = requestCost(inProgress);
                best = Math.min(best, micros[0]);
                bestToken = Math.min(bestToken, micros[1]);
            }
            out.printf(
                    Locale.ROOT,
                    "  in_progress=%d us_per_request=%.2f us_per_token=%.3f%n",
                    inProgress,
                    best,
                    bestToken);
        }
    }

    /** Returns the mean microseconds per request and per token, in this order. */
    private double[] requestCost(int inProgress) {
        DefaultRequestCoordinator coordinator = coordinator();
        Configuration configuration = ScaleTables.configuration(64, 0, 1);
        coordinator.handle(new RequestEvent.ConfigurationChanged(configuration), START);
        Set<ServerId> servers = addServers(coordinator);
        ArtifactId model = new ArtifactId("model-0", "1");
        coordinator.handle(
                new RequestEvent.ReplicasChanged(
                        ScaleTables.group(0),
                        model,
                        servers,
                        ColdStart.UNDECIDED,
                        Optional.empty()),
                START);
        long requestNanos = 0;
        long tokenNanos = 0;
        int batches = Math.max(2, 20_000 / inProgress);
        for (int batch = 0; batch < batches; batch++) {
            Instant now = START.plusMillis(batch * 10L);
            long begin = System.nanoTime();
            List<RequestCommand.SendGeneration> sent =
                    submitRequests(coordinator, batch, inProgress, now);
            long arrived = System.nanoTime();
            for (int offset = 0; offset < TOKENS; offset++) {
                for (RequestCommand.SendGeneration send : sent) {
                    coordinator.handle(
                            new RequestEvent.AttemptToken(send.attempt(), offset, "x"), now);
                }
            }
            long streamed = System.nanoTime();
            for (RequestCommand.SendGeneration send : sent) {
                coordinator.handle(
                        new RequestEvent.AttemptCompleted(send.attempt(), TOKENS, ""), now);
            }
            long ended = System.nanoTime();
            if (sent.size() != inProgress) {
                throw new IllegalStateException(
                        "only " + sent.size() + " of " + inProgress + " requests were sent");
            }
            if (batch >= batches / 2) {
                requestNanos += arrived - begin + ended - streamed;
                tokenNanos += streamed - arrived;
            }
        }
        double measured = (double) (batches - batches / 2) * inProgress;
        return new double[] {
            requestNanos / measured / NANOS_PER_MICRO,
            tokenNanos / measured / TOKENS / NANOS_PER_MICRO
        };
    }

    private DefaultRequestCoordinator coordinator() {
        RequestSettings defaults = RequestSettings.DEFAULT;
        RequestSettings settings =
                new RequestSettings(
                        defaults.serviceQueueLimit(),
                        defaults.maximumInFlight(),
                        defaults.maximumInFlight(),
                        defaults.progressTimeout(),
                        defaults.expiryMargin(),
                        defaults.tolerance(),
                        defaults.demandPeriod(),
                        defaults.bytesPerRoute(),
                        defaults.retryShare(),
                        defaults.retryReserve(),
                        defaults.maximumAttemptsWithoutProgress(),
                        defaults.suspectRetention());
        return new DefaultRequestCoordinator(
                new ProcessId("entry-1-1"),
                new FailureDomain("domain-0"),
                settings,
                hasher,
                (route, key) -> new ClaimKey(route + "/" + key),
                new SplittableRandom(seed),
                (invariant, detail) -> {
                    throw new IllegalStateException(
                            "invariant " + invariant + " violated: " + detail);
                });
    }

    private static Set<ServerId> addServers(DefaultRequestCoordinator coordinator) {
        List<ServerDescription> servers = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            servers.add(
                    new ServerDescription(
                            new ServerId("server-" + index),
                            new FailureDomain("domain-" + index % 5),
                            false));
        }
        coordinator.handle(new RequestEvent.ServersChanged(ScaleTables.group(0), servers), START);
        Set<ServerId> ids = new HashSet<>();
        servers.forEach(server -> ids.add(server.server()));
        return ids;
    }

    private static List<RequestCommand.SendGeneration> submitRequests(
            DefaultRequestCoordinator coordinator, int batch, int count, Instant now) {
        List<RequestCommand.SendGeneration> sent = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            RequestEvent.RequestArrived event =
                    new RequestEvent.RequestArrived(
                            new RequestId("r-" + batch + "-" + index), description(index));
            for (RequestCommand command : coordinator.handle(event, now)) {
                if (command instanceof RequestCommand.SendGeneration send) {
                    sent.add(send);
                }
            }
        }
        return sent;
    }

    private static RequestDescription description(int index) {
        return new RequestDescription(
                "POST",
                "/v1/chat/completions",
                Optional.of("model-0"),
                Map.of("content-type", "application/json"),
                Optional.of(Duration.ofSeconds(30)),
                Optional.empty(),
                Optional.empty(),
                new Fingerprint("body-" + index),
                500,
                0,
                true);
    }

    private void measureTables() {
        out.println("tables: heap of a configuration and of a coordinator that uses it");
        for (int models : new int[] {65, 350, 700, 1400}) {
            int adapters = models * 3000 / 1400;
            long before = usedHeap();
            Configuration configuration = ScaleTables.configuration(models, adapters, 46);
            DefaultRequestCoordinator coordinator = coordinator();
            coordinator.handle(new RequestEvent.ConfigurationChanged(configuration), START);
            long after = usedHeap();
            out.printf(
                    Locale.ROOT,
                    "  models=%d adapters=%d heap_kb=%d routes=%d%n",
                    models,
                    adapters,
                    (after - before) >> 10,
                    configuration.routes().size());
            if (coordinator.hashCode() == 0) {
                // Keeps the coordinator reachable until the heap has been read.
                out.println();
            }
        }
    }

    static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < ROUNDS; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
