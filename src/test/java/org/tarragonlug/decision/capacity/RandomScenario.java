package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.id.ArtifactId;

/**
 * A random scenario for one seed: a phase with random faults, followed by a phase without faults in
 * which all demand must be served.
 */
final class RandomScenario {
    private static final int INSTANCES = 8;
    private static final int ENGINES = 8;
    private static final Duration FAULT_PHASE = Duration.ofSeconds(70);

    // Longer than OwnOrder.LATE_DELIVERY_LIMIT, to check that the orders of a process that is only
    // paused are not closed after this limit.
    private static final Duration LONG_FAULT_PHASE = Duration.ofSeconds(180);

    // Includes OwnOrder.LATE_DELIVERY_LIMIT, the exclusion of a failing server, and a few
    // successive loads.
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(240);
    private static final Duration FINAL_PHASE = Duration.ofSeconds(20);

    private final Random random;
    private final FakeWorld world;
    private final List<ArtifactLimit> limits = new ArrayList<>();
    private final Duration faultPhase;
    private final int maxPauseMillis;
    private int addedEngines;

    RandomScenario(long seed) {
        random = new Random(seed);
        boolean isLong = seed % 8 == 0;
        faultPhase = isLong ? LONG_FAULT_PHASE : FAULT_PHASE;
        maxPauseMillis = isLong ? 150_000 : 40_000;
        world = new FakeWorld(seed + 1, Duration.ofSeconds(1 + random.nextInt(20)));
        world.tickPeriod = Duration.ofMillis(200);
        for (int i = 0; i < 10; i++) {
            limits.add(
                    FakeWorld.model("model-" + i, 20 + random.nextInt(40), 1 + random.nextInt(2)));
        }
        for (int i = 0; i < 5; i++) {
            ArtifactLimit base = limits.get(random.nextInt(4));
            limits.add(FakeWorld.adapter("adapter-" + i, base, 1 + random.nextInt(5)));
        }
        ArtifactLimit first = limits.get(0);
        limits.set(
                0,
                new ArtifactLimit(
                        first.artifact(),
                        first.baseModel(),
                        first.memoryBytes(),
                        random.nextInt(2),
                        first.maximumReplicas()));
        world.configure(random.nextInt(3), limits.toArray(ArtifactLimit[]::new));
        for (int i = 0; i < ENGINES; i++) {
            addEngine();
        }
    }

    private void addEngine() {
        FencingKind fencing = random.nextBoolean() ? FencingKind.CHECKED : FencingKind.IGNORED;
        world.addEngine("server-" + addedEngines, fencing, 70 + random.nextInt(60));
        addedEngines++;
    }

    void run() {
        for (int i = 0; i < INSTANCES; i++) {
            world.addProcess("instance-" + i);
        }
        world.start();
        world.becomeDecider(world.processes.get(0));
        world.run(Duration.ofSeconds(4));
        int count = 4 + random.nextInt(20);
        for (int i = 0; i < count; i++) {
            Duration at = Duration.ofMillis(random.nextLong(faultPhase.toMillis()));
            // Half of the faults occur in pairs, at the same time or shortly after each other.
            int pair = random.nextBoolean() ? 2 : 1;
            for (int j = 0; j < pair; j++) {
                world.after(at.plusMillis(j * random.nextInt(30)), this::injectFault);
            }
        }
        world.run(faultPhase);
        recover();
    }

    private void injectFault() {
        FakeProcess process = world.processes.get(random.nextInt(world.processes.size()));
        List<FakeEngine> present =
                world.engines.values().stream().filter(e -> e.present && !e.leaving).toList();
        FakeEngine engine = present.get(random.nextInt(present.size()));
        switch (random.nextInt(20)) {
            case 0, 1, 2, 14, 15 -> addRandomDemand();
            case 3 -> world.becomeDecider(process);
            case 4 -> {
                FakeProcess old = world.processes.get(0);
                world.stopDeciding(old);
                world.becomeDecider(process);
            }
            case 5 -> world.store.lossPercent = random.nextInt(60);
            case 6, 7 -> pauseDecider(process);
            case 8 -> world.crash(decider(process));
            case 9 -> {
                world.apiDown();
                world.after(Duration.ofMillis(random.nextInt(30_000)), world::apiUp);
            }
            case 10 -> engine.restart();
            case 11 -> startLeaving(engine, present.size());
            case 16 -> {
                engine.silent = true;
                world.after(Duration.ofMillis(random.nextInt(20_000)), () -> engine.silent = false);
            }
            case 17 -> {
                engine.inProgress.addAll(engine.loaded.keySet());
                world.after(Duration.ofMillis(random.nextInt(20_000)), engine.inProgress::clear);
            }
            case 18, 19 -> disconnectFromObjectApi(decider(process));
            case 12 -> engine.remainingFailures = 1 + random.nextInt(5);
            default -> world.lostOrderPercent = random.nextInt(50);
        }
    }

    private FakeProcess decider(FakeProcess fallback) {
        return world.processes.stream()
                .filter(p -> world.deciders.contains(p.id))
                .findFirst()
                .orElse(fallback);
    }

    private void pauseDecider(FakeProcess fallback) {
        FakeProcess paused = decider(fallback);
        paused.paused = true;
        world.log("pause " + paused.id);
        world.after(
                Duration.ofMillis(random.nextInt(5_000)),
                () ->
                        world.becomeDecider(
                                world.processes.get(random.nextInt(world.processes.size()))));
        world.after(
                Duration.ofMillis(random.nextInt(maxPauseMillis)),
                () -> {
                    world.log("resume " + paused.id);
                    paused.resume();
                });
    }

    /** Disconnects one process from the object API, which all other processes can still reach. */
    private void disconnectFromObjectApi(FakeProcess process) {
        process.cutOff = true;
        process.deliver(new CapacityEvent.ObjectApiDown());
        world.becomeDecider(world.processes.get(random.nextInt(world.processes.size())));
        world.after(
                Duration.ofMillis(random.nextInt(40_000)),
                () -> {
                    process.cutOff = false;
                    process.deliver(new CapacityEvent.ObjectApiUp());
                });
    }

    private void startLeaving(FakeEngine engine, int present) {
        if (present <= ENGINES / 2) {
            return;
        }
        world.log("leaving " + engine.server);
        engine.leaving = true;
        world.after(
                Duration.ofMillis(random.nextInt(20_000)),
                () -> {
                    engine.shutDown();
                    addEngine();
                    world.toAll(world.listing());
                });
    }

    private void addRandomDemand() {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            world.addDemand(limits.get(random.nextInt(limits.size())).artifact());
        }
    }

    private void recover() {
        world.log("recovery");
        world.store.lossPercent = 0;
        world.lostOrderPercent = 0;
        world.engines.values().forEach(engine -> engine.remainingFailures = 0);
        List.copyOf(world.processes).forEach(FakeProcess::resume);
        world.run(Duration.ofSeconds(5));
        world.apiUp();
        List.copyOf(world.processes).forEach(FakeProcess::resume);
        world.processes.stream()
                .filter(p -> world.deciders.contains(p.id))
                .toList()
                .forEach(world::stopDeciding);
        world.becomeDecider(world.processes.get(0));
        addRandomDemand();
        Duration waited = Duration.ZERO;
        while (!world.waiting.isEmpty() && waited.compareTo(RECOVERY_LIMIT) < 0) {
            world.run(Duration.ofSeconds(5));
            waited = waited.plusSeconds(5);
        }
        if (!world.waiting.isEmpty()) {
            List<ArtifactId> unserved = List.copyOf(world.waiting.keySet());
            world.fail(
                    "not served: "
                            + unserved
                            + " refusals "
                            + world.refusals
                            + " record "
                            + world.store.record);
        }
        world.run(FINAL_PHASE);
    }
}
