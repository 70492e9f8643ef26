package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/**
 * Simulates planners, engines and the object API in virtual time. After every step that changes an
 * engine or the record, it compares the artifacts on the engines with the stored record and with
 * the limits of the pool.
 */
final class FakeWorld {
    static final ServerGroup GROUP = new ServerGroup("flight");

    private record Step(Instant at, long number, Runnable action) {}

    final Random random;
    final Duration keepFor;
    final FakeRecordStore store = new FakeRecordStore(this);
    final Map<ServerId, FakeEngine> engines = new LinkedHashMap<>();
    final List<FakeProcess> processes = new ArrayList<>();
    final Set<ProcessId> gone = new HashSet<>();
    final Set<ProcessId> deciders = new HashSet<>();
    final Map<ArtifactId, Set<InstanceId>> waiting = new TreeMap<>();
    final Map<ArtifactId, Set<ServerId>> ready = new TreeMap<>();
    final Map<ArtifactId, CapacityRefusal> refusals = new TreeMap<>();
    final Set<ArtifactId> running = new TreeSet<>();
    final List<String> trace = new ArrayList<>();
    Configuration configuration = Configuration.EMPTY;
    Instant now = Instant.parse("2026-01-01T00:00:00Z");
    Instant deadline = now.plusSeconds(3_600);

    /** Artifacts that a test has put on an engine without a decision of a planner. */
    final Set<ArtifactId> unrecorded = new TreeSet<>();

    final List<String> violations = new ArrayList<>();
    Duration tickPeriod = Duration.ofMillis(100);
    Duration turnGrantDelay = Duration.ZERO;
    int lostOrderPercent;
    boolean changed;

    /** Whether each instance acts as the decider and sends its demand only to itself. */
    boolean allInstancesDecide;

    int runs;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::number));
    private long stepCount;

    FakeWorld(long seed, Duration keepFor) {
        this.random = new Random(seed);
        this.keepFor = keepFor;
    }

    void fail(String fault) {
        List<String> last = trace.subList(Math.max(0, trace.size() - 400), trace.size());
        String history = Boolean.getBoolean("tarragonlug.trace") ? String.join("\n", last) : "";
        throw new AssertionError(fault + " at " + now + "\n" + history);
    }

    void onViolation(String violation) {
        violations.add(violation);
        if (unrecorded.isEmpty()) {
            fail(violation);
        }
    }

    void log(String line) {
        trace.add(now + " " + line);
    }

    void configure(int standbySlots, ArtifactLimit... limits) {
        Pool pool = new Pool(new PoolName("pool"), GROUP, List.of(limits), 1.0, standbySlots, 100);
        configuration = new Configuration(new ConfigurationVersion(1), List.of(), List.of(pool));
    }

    static ArtifactLimit model(String name, long bytes, int maximum) {
        return new ArtifactLimit(new ArtifactId(name, "1"), Optional.empty(), bytes, 0, maximum);
    }

    static ArtifactLimit adapter(String name, ArtifactLimit base, long bytes) {
        return new ArtifactLimit(
                new ArtifactId(name, "1"), Optional.of(base.artifact()), bytes, 0, 1);
    }

    FakeEngine addEngine(String name, FencingKind fencing, long memoryBytes) {
        FakeEngine engine = new FakeEngine(this, name, fencing, memoryBytes);
        engines.put(engine.server, engine);
        return engine;
    }

    FakeProcess addProcess(String instance) {
        FakeProcess process = new FakeProcess(this, new InstanceId(instance), runs++);
        processes.add(process);
        process.deliver(new CapacityEvent.ConfigurationChanged(configuration));
        process.deliver(listing());
        process.deliver(new CapacityEvent.ProcessesStopped(gone));
        if (store.down) {
            process.deliver(new CapacityEvent.ObjectApiDown());
        }
        tick(process);
        return process;
    }

    private void tick(FakeProcess process) {
        if (!process.crashed) {
            if (!process.paused) {
                process.deliver(new CapacityEvent.Tick());
            }
            after(tickPeriod, () -> tick(process));
        }
    }

    /** Starts the periodic engine reports, server lists and demand reports. */
    void start() {
        every(Duration.ofSeconds(1), this::reportServers);
        every(Duration.ofSeconds(1), this::reportDemand);
        every(Duration.ofSeconds(3), () -> toAll(listing()));
        every(Duration.ofMillis(200), this::serve);
    }

    private void every(Duration period, Runnable action) {
        action.run();
        after(period, () -> every(period, action));
    }

    void after(Duration delay, Runnable action) {
        steps.add(new Step(now.plus(delay), stepCount++, action));
    }

    Duration latency() {
        return Duration.ofMillis(1 + random.nextInt(3));
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (!steps.isEmpty() && !steps.peek().at().isAfter(end)) {
            Step step = steps.poll();
            now = step.at();
            step.action().run();
            if (changed) {
                changed = false;
                check();
            }
        }
        now = end;
    }

    void toAll(CapacityEvent event) {
        List.copyOf(processes).forEach(process -> process.deliver(event));
    }

    CapacityEvent.ServersListed listing() {
        return new CapacityEvent.ServersListed(
                engines.values().stream()
                        .filter(engine -> engine.present)
                        .map(FakeEngine::listing)
                        .toList());
    }

    private void reportServers() {
        for (FakeEngine engine : engines.values()) {
            if (engine.present && !engine.silent) {
                // The report shows the current state and arrives up to a second later.
                ServerReport report = engine.report();
                for (FakeProcess process : processes) {
                    after(
                            Duration.ofMillis(random.nextInt(1_000)),
                            () ->
                                    process.deliver(
                                            new CapacityEvent.ServerReported(receivedNow(report))));
                }
            }
        }
    }

    private ServerReport receivedNow(ServerReport r) {
        return new ServerReport(
                r.server(),
                r.incarnation(),
                r.leaving(),
                r.memoryBytes(),
                r.loaded(),
                r.loading(),
                r.cached(),
                r.inProgress(),
                r.running(),
                r.queued(),
                now);
    }

    void addDemand(ArtifactId artifact) {
        Set<InstanceId> instances = new TreeSet<>();
        processes.stream().filter(p -> !p.crashed).forEach(p -> instances.add(p.instance));
        waiting.put(artifact, instances);
        log("demand " + artifact);
        instances.forEach(instance -> sendDemand(instance, artifact, 1));
    }

    private void reportDemand() {
        waiting.forEach(
                (artifact, instances) ->
                        instances.forEach(instance -> sendDemand(instance, artifact, 0)));
        running.forEach(a -> sendDemand(new InstanceId("instance-0"), a, 0));
    }

    private void sendDemand(InstanceId instance, ArtifactId artifact, int arrivals) {
        int waits = waiting.containsKey(artifact) ? 1 : 0;
        int runs = running.contains(artifact) ? 1 : 0;
        Demand demand = new Demand(artifact, waits, runs, arrivals, deadline, Priority.INTERACTIVE);
        for (FakeProcess process : processes) {
            boolean addressed =
                    deciders.contains(process.id)
                            && (!allInstancesDecide || process.instance.equals(instance));
            if (addressed) {
                process.deliver(new CapacityEvent.DemandReported(instance, demand));
            }
        }
    }

    /** Serves the waiting requests of artifacts that are published and actually loaded. */
    private void serve() {
        for (ArtifactId artifact : List.copyOf(waiting.keySet())) {
            boolean served =
                    ready.getOrDefault(artifact, Set.of()).stream()
                            .map(engines::get)
                            .anyMatch(e -> e.present && e.loaded.containsKey(artifact));
            if (served) {
                Set<InstanceId> instances = waiting.remove(artifact);
                instances.forEach(instance -> sendDemand(instance, artifact, 0));
            }
        }
    }

    void becomeDecider(FakeProcess process) {
        deciders.add(process.id);
        process.deliver(new CapacityEvent.BecameDecider());
    }

    void stopDeciding(FakeProcess process) {
        deciders.remove(process.id);
        process.deliver(new CapacityEvent.StoppedBeingDecider());
    }

    void crash(FakeProcess process) {
        log("crash " + process.id);
        process.crashed = true;
        processes.remove(process);
        boolean decided = deciders.remove(process.id);
        after(
                Duration.ofMillis(500 + random.nextInt(4_000)),
                () -> {
                    FakeProcess restarted = addProcess(process.instance.value());
                    gone.add(process.id);
                    toAll(new CapacityEvent.ProcessesStopped(gone));
                    if (decided) {
                        becomeDecider(random.nextBoolean() ? restarted : processes.get(0));
                    }
                });
    }

    void apiDown() {
        log("api down");
        store.down = true;
        toAll(new CapacityEvent.ObjectApiDown());
    }

    void apiUp() {
        log("api up");
        store.down = false;
        toAll(new CapacityEvent.ObjectApiUp());
    }

    void execute(FakeProcess process, CapacityCommand command) {
        if (command instanceof CapacityCommand.ReadRecord) {
            store.read(process, process::deliver);
        } else if (command instanceof CapacityCommand.WriteRecord write) {
            log(process.id + " writes " + write.operation() + " expecting " + store.version);
            store.write(process, write, event -> after(latency(), () -> process.deliver(event)));
        } else if (command instanceof CapacityCommand.SendOrder send) {
            log(process.id + " sends " + send.order());
            sendOrder(process, send.order());
        } else if (command instanceof CapacityCommand.RequestLoadTurn request) {
            after(
                    turnGrantDelay.plusMillis(random.nextInt(100)),
                    () ->
                            process.deliver(
                                    new CapacityEvent.LoadTurnGranted(
                                            request.operation(), now.plusSeconds(2))));
        } else if (command instanceof CapacityCommand.PublishReplicas publish) {
            ready.put(publish.artifact(), Set.copyOf(publish.ready()));
        } else if (command instanceof CapacityCommand.ReportArtifact report) {
            refusals.remove(report.artifact());
            report.lastRefusal().ifPresent(r -> refusals.put(report.artifact(), r));
        }
    }

    private void sendOrder(FakeProcess process, Order order) {
        FakeEngine engine = engines.get(order.server());
        boolean lost = random.nextInt(100) < lostOrderPercent;
        if (!lost) {
            after(
                    latency(),
                    () -> engine.execute(order, outcome -> answer(process, order, outcome)));
            return;
        }
        // The answer is lost. The order is not executed, executed immediately, or executed within
        // OwnOrder.LATE_DELIVERY_LIMIT.
        switch (random.nextInt(3)) {
            case 0 -> {}
            case 1 -> after(latency(), () -> engine.execute(order, outcome -> {}));
            default ->
                    after(
                            Duration.ofMillis(random.nextInt(59_000)),
                            () -> engine.execute(order, outcome -> {}));
        }
        after(
                Duration.ofMillis(500),
                () ->
                        process.deliver(
                                new CapacityEvent.OrderEnded(
                                        order.operation(), OrderOutcome.UNKNOWN)));
    }

    private void answer(FakeProcess process, Order order, OrderOutcome outcome) {
        log("end " + outcome + " " + order.operation() + " " + order.artifact());
        after(
                latency(),
                () -> process.deliver(new CapacityEvent.OrderEnded(order.operation(), outcome)));
    }

    private void check() {
        Map<ArtifactId, Set<ServerId>> serversByArtifact = new TreeMap<>();
        for (FakeEngine engine : engines.values()) {
            if (engine.usedBytes() > engine.memoryBytes) {
                fail("I2 violated: " + engine.server + " " + engine.loaded + " " + engine.loading);
            }
            engine.loaded.keySet().forEach(a -> add(serversByArtifact, a, engine));
            engine.loading.keySet().forEach(a -> add(serversByArtifact, a, engine));
        }
        CapacityRecord record = store.record;
        serversByArtifact.keySet().removeAll(unrecorded);
        serversByArtifact.forEach(
                (artifact, servers) -> {
                    if (record == null || !record.decidedServers(artifact).containsAll(servers)) {
                        fail("I1 violated: " + artifact + " on " + servers + " record " + record);
                    }
                    int maximum =
                            configuration
                                    .limit(new PoolName("pool"), artifact)
                                    .orElseThrow()
                                    .maximumReplicas();
                    if (servers.size() > maximum) {
                        fail("I1 violated: " + artifact + " on " + servers + " maximum " + maximum);
                    }
                });
    }

    private static void add(
            Map<ArtifactId, Set<ServerId>> serversByArtifact,
            ArtifactId artifact,
            FakeEngine engine) {
        serversByArtifact.computeIfAbsent(artifact, a -> new TreeSet<>()).add(engine.server);
    }
}
