package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.capacity.CapacityCommand;
import org.tarragonlug.decision.capacity.CapacityEvent;
import org.tarragonlug.decision.capacity.CapacitySettings;
import org.tarragonlug.decision.capacity.DefaultCapacityPlanner;
import org.tarragonlug.decision.capacity.DefaultKeepWarmPolicy;
import org.tarragonlug.decision.capacity.DefaultPlacement;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.decision.capacity.FencingKind;
import org.tarragonlug.decision.capacity.ListedServer;
import org.tarragonlug.decision.capacity.LoadTimes;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderKind;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.objectapi.CapacityRecordCodec;
import org.tarragonlug.runtime.Json;

/**
 * Measures one capacity planner at growing sizes of its server group. The simulated engines execute
 * every order successfully.
 */
final class PlannerMeasurement {
    private static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
    private static final long SERVER_BYTES = 24L << 30;
    private static final int MODELS_PER_SERVER = 4;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final long seed;
    private final PrintStream out;

    PlannerMeasurement(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    void run() {
        out.println("capacity planner: one group, 4 models loaded on each server");
        for (int servers : new int[] {8, 32, 64, 128}) {
            measure(servers);
        }
    }

    private void measure(int servers) {
        long heapBefore = ScaleMeasurement.usedHeap();
        PlannerSimulation simulation = new PlannerSimulation(servers, seed);
        int models = servers * MODELS_PER_SERVER;
        simulation.loadModels(models);
        long heap = ScaleMeasurement.usedHeap() - heapBefore;
        int writes = simulation.writes;
        simulation.runTicks(200);
        long begin = System.nanoTime();
        simulation.runTicks(200);
        double tickMicros = (System.nanoTime() - begin) / 200 / 1e3;
        begin = System.nanoTime();
        simulation.reportServers();
        double reportMicros = (System.nanoTime() - begin) / 1e3 / servers;
        int bytes =
                Json.bytes(new CapacityRecordCodec().write(simulation.planner.record(), null))
                        .length;
        out.printf(
                Locale.ROOT,
                "  servers=%d slots=%d record_bytes=%d heap_kb=%d tick_us=%.1f report_us=%.2f"
                        + " writes_per_load=%.2f%n",
                servers,
                simulation.planner.record().slots().size(),
                bytes,
                heap >> 10,
                tickMicros,
                reportMicros,
                (double) writes / models);
    }

    /** Simulates a planner whose object API and engines answer immediately. */
    private static final class PlannerSimulation {
        private final DefaultCapacityPlanner planner;
        private final List<ServerId> servers = new ArrayList<>();
        private final Map<ServerId, Map<ArtifactId, Long>> loaded = new HashMap<>();
        private final Deque<CapacityEvent> pendingEvents = new ArrayDeque<>();
        private Instant now = START;
        private long version;
        private int writes;

        PlannerSimulation(int count, long seed) {
            CapacitySettings settings =
                    new CapacitySettings(ScaleTables.group(0), new ProcessId("entry-1-1"), 30, 8);
            LoadTimes loadTimes = new LoadTimes();
            planner =
                    new DefaultCapacityPlanner(
                            settings,
                            loadTimes,
                            new DefaultPlacement(loadTimes, 1),
                            new DefaultKeepWarmPolicy(artifact -> 0.2),
                            new SplittableRandom(seed),
                            (invariant, detail) -> {
                                throw new IllegalStateException(
                                        "invariant " + invariant + " violated: " + detail);
                            });
            List<ListedServer> listed = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                ServerId server = new ServerId("server-" + index);
                servers.add(server);
                loaded.put(server, new HashMap<>());
                listed.add(
                        new ListedServer(
                                server,
                                new FailureDomain("domain-" + index % 5),
                                false,
                                FencingKind.CHECKED));
            }
            handle(
                    new CapacityEvent.ConfigurationChanged(
                            ScaleTables.configuration(count * MODELS_PER_SERVER, 0, 1)));
            handle(new CapacityEvent.ServersListed(listed));
            handle(new CapacityEvent.BecameDecider());
            reportServers();
            runTicks(10);
        }

        void loadModels(int models) {
            InstanceId instance = new InstanceId("entry-2");
            for (int index = 0; index < models; index++) {
                ArtifactId artifact = new ArtifactId("model-" + index, "1");
                Instant deadline = now.plusSeconds(30);
                reportDemand(instance, new Demand(artifact, 1, 0, 1, deadline, Priority.NORMAL));
                runTicks(3);
                reportDemand(instance, new Demand(artifact, 0, 1, 0, deadline, Priority.NORMAL));
                if (index % 16 == 0) {
                    reportServers();
                }
            }
            reportServers();
            runTicks(10);
        }

        private void reportDemand(InstanceId instance, Demand demand) {
            handle(new CapacityEvent.DemandReported(instance, demand));
        }

        void runTicks(int count) {
            for (int index = 0; index < count; index++) {
                now = now.plus(TICK_INTERVAL);
                handle(new CapacityEvent.Tick());
            }
        }

        void reportServers() {
            for (ServerId server : servers) {
                handle(
                        new CapacityEvent.ServerReported(
                                new ServerReport(
                                        server,
                                        "1",
                                        false,
                                        SERVER_BYTES,
                                        loaded.get(server),
                                        Map.of(),
                                        Map.of(),
                                        Set.of(),
                                        0,
                                        0,
                                        now)));
            }
        }

        private void handle(CapacityEvent event) {
            pendingEvents.add(event);
            while (!pendingEvents.isEmpty()) {
                for (CapacityCommand command : planner.handle(pendingEvents.poll(), now)) {
                    execute(command);
                }
            }
        }

        private void execute(CapacityCommand command) {
            if (command instanceof CapacityCommand.ReadRecord) {
                pendingEvents.add(
                        new CapacityEvent.RecordRead(
                                version == 0 ? Optional.empty() : Optional.of(planner.record()),
                                version));
            } else if (command instanceof CapacityCommand.WriteRecord write) {
                version++;
                writes++;
                pendingEvents.add(new CapacityEvent.WriteDone(write.operation(), version));
            } else if (command instanceof CapacityCommand.RequestLoadTurn request) {
                pendingEvents.add(
                        new CapacityEvent.LoadTurnGranted(
                                request.operation(), now.plusSeconds(60)));
            } else if (command instanceof CapacityCommand.SendOrder send) {
                executeOrder(send.order());
            }
        }

        private void executeOrder(Order order) {
            Map<ArtifactId, Long> artifacts = loaded.get(order.server());
            if (order.kind() == OrderKind.LOAD) {
                artifacts.put(order.artifact(), order.memoryBytes());
            } else {
                artifacts.remove(order.artifact());
            }
            pendingEvents.add(new CapacityEvent.OrderEnded(order.operation(), OrderOutcome.DONE));
        }
    }
}
