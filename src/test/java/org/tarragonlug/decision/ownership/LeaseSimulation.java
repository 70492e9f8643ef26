package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/**
 * Simulates several lease managers with a fake store in virtual time. Calls to the store are
 * delayed, refused, lost after they took effect, or carried out late. Instances are killed, paused
 * and partitioned from each other. Each instance gives orders to one server whenever it may.
 *
 * <p>A store that states eras may also return from an older copy. The instances check the era of
 * each answer as {@code EraCheckedObjectApi} does.
 */
final class LeaseSimulation {
    static final Duration TURN = Duration.ofMillis(3000);
    private static final Duration SHORT_STEP = Duration.ofMillis(20);
    private static final List<LeaseFault> RANDOM_FAULTS = List.of(LeaseFault.values());
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /** An order that an instance gave to the server. */
    record Order(Instant at, String holder, long fence) {}

    /** An answer of the store, and the era in which the store gave it. */
    private record Answer(LeaseEvent event, StoreEra era) {}

    private record Task(Instant at, long sequence, Runnable run) {}

    /** One instance and its current process. */
    private final class SimulatedInstance {
        private final InstanceId id;
        private final String address;
        private LeaseManager manager;
        private int processNumber;
        private boolean stopping;
        private Instant pausedUntil = Instant.EPOCH;
        private Instant partitionedUntil = Instant.EPOCH;
        private Instant downUntil = Instant.EPOCH;
        private Instant lastRun = Instant.EPOCH;
        private StoreEra knownEra;

        SimulatedInstance(int number) {
            id = new InstanceId("instance-" + number);
            address = "10.0.0." + number + ":1";
            start();
        }

        private void start() {
            processNumber++;
            stopping = false;
            knownEra = StoreEra.NONE;
            boolean firstStart = processNumber == 1;
            manager = new LeaseManager(id, id + "-" + processNumber, address, TURN, firstStart);
        }

        boolean isRunning() {
            return !now.isBefore(pausedUntil) && !now.isBefore(downUntil);
        }

        void step() {
            if (!isRunning()) {
                return;
            }
            if (Duration.between(lastRun, now).toMillis() > 800 && lastRun != Instant.EPOCH) {
                execute(manager.handle(new LeaseEvent.Paused(), now));
            }
            lastRun = now;
            execute(manager.handle(new LeaseEvent.Tick(), now));
            if (manager.mayOrder(now)) {
                orders.add(new Order(now, id.value(), manager.fence().value()));
            }
        }

        void execute(List<LeaseCommand> commands) {
            for (LeaseCommand command : commands) {
                if (command instanceof LeaseCommand.Read) {
                    call(() -> read(processNumber));
                } else if (command instanceof LeaseCommand.Write write) {
                    Instant startedAt = now;
                    StoreEra begunIn = knownEra;
                    call(() -> write(write.record(), startedAt, begunIn, processNumber));
                }
            }
        }

        private void call(Runnable atStore) {
            int callerProcess = processNumber;
            storeCalls.add(now);
            if (now.isBefore(partitionedUntil) || now.isBefore(storeDownUntil)) {
                schedule(CALL_TIMEOUT, () -> deliver(callerProcess, new LeaseEvent.CallFailed()));
                return;
            }
            schedule(Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis)), atStore);
        }

        private void read(int callerProcess) {
            if (drills.isAway(now)) {
                reset(callerProcess);
                return;
            }
            respond(callerProcess, new LeaseEvent.Read(store.read()), StoreEra.NONE);
        }

        private void write(
                LeaseRecord record, Instant startedAt, StoreEra begunIn, int callerProcess) {
            boolean late = random.nextInt(100) < lateWritePercent;
            if (late) {
                Duration delay = Duration.ofMillis(1000 + random.nextInt(5000));
                lateUntil = later(lateUntil, now.plus(delay));
                schedule(delay, () -> store.write(record, now));
                schedule(CALL_TIMEOUT, () -> deliver(callerProcess, new LeaseEvent.CallFailed()));
                return;
            }
            if (drills.isAway(now)) {
                reset(callerProcess);
                return;
            }
            Optional<LeaseRecord> written = store.write(record, now);
            LeaseEvent event =
                    written.isPresent()
                            ? new LeaseEvent.Written(written.get(), startedAt)
                            : new LeaseEvent.Conflicted(store.read());
            respond(callerProcess, event, begunIn);
        }

        /** Lets a call fail because the store has closed its connections. */
        private void reset(int callerProcess) {
            schedule(step, () -> deliver(callerProcess, new LeaseEvent.CallFailed()));
        }

        private void respond(int callerProcess, LeaseEvent event, StoreEra begunIn) {
            boolean lost =
                    random.nextInt(100) < lostAnswerPercent || now.isBefore(partitionedUntil);
            Duration delay =
                    lost
                            ? CALL_TIMEOUT
                            : Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis));
            Answer answer = new Answer(event, store.era());
            schedule(
                    delay,
                    lost
                            ? () -> deliver(callerProcess, new LeaseEvent.CallFailed())
                            : () -> receive(callerProcess, answer, begunIn));
        }

        /** Checks the era of an answer and then delivers it, after what is queued already. */
        private void receive(int callerProcess, Answer answer, StoreEra begunIn) {
            if (!store.era().isStated()) {
                deliver(callerProcess, answer.event());
                return;
            }
            if (callerProcess != processNumber || now.isBefore(downUntil)) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                Duration delay = Duration.between(now, pausedUntil).plus(step);
                schedule(delay, () -> receive(callerProcess, answer, begunIn));
                return;
            }
            learnEra(answer.era());
            boolean write = !(answer.event() instanceof LeaseEvent.Read);
            boolean accepted =
                    answer.era().equals(knownEra) && (!write || begunIn.equals(knownEra));
            LeaseEvent event = accepted ? answer.event() : new LeaseEvent.CallFailed();
            schedule(drills.queueDelay(), () -> deliver(callerProcess, event));
        }

        /** Learns the store's era from an answer to any call. */
        private void learnEra(StoreEra stated) {
            if (stated.compareTo(knownEra) > 0) {
                knownEra = stated;
                execute(manager.handle(new LeaseEvent.StoreEraChanged(stated), now));
            }
        }

        private void deliver(int callerProcess, LeaseEvent event) {
            if (callerProcess != processNumber || now.isBefore(downUntil)) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                Duration delay = Duration.between(now, pausedUntil).plus(step);
                schedule(delay, () -> deliver(callerProcess, event));
                return;
            }
            execute(manager.handle(event, now));
        }
    }

    final List<Order> orders = new ArrayList<>();

    /** When instances called the store. */
    final List<Instant> storeCalls = new ArrayList<>();

    private final Random random;
    private final SimulatedLeaseStore store;
    private final StoreDrills drills;
    private final Duration step;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::sequence));
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final int stepsBetweenFaults;
    private final int lostAnswerPercent;
    private final int lateWritePercent;
    private final int maxStoreDelayMillis;

    /**
     * Longest time by which statements of holders are delayed, so that they overtake each other.
     */
    private final int maxStatementDelayMillis;

    private Instant now = Instant.ofEpochSecond(1000);
    private Instant storeDownUntil = Instant.EPOCH;
    private Instant lateUntil = Instant.EPOCH;
    private long sequence;

    /** Creates a simulation with a store that states no era. */
    LeaseSimulation(long seed, int instanceCount) {
        this(seed, instanceCount, StoreEra.NONE);
    }

    /**
     * Creates a simulation.
     *
     * @param firstEra era of the store at the start. A store that states eras returns from older
     *     copies while there are faults
     */
    LeaseSimulation(long seed, int instanceCount, StoreEra firstEra) {
        this(seed, instanceCount, firstEra, true, SHORT_STEP);
    }

    /** Creates a simulation with a store that carries out and answers all calls that reach it. */
    static LeaseSimulation withReliableStore(long seed, int instanceCount, StoreEra firstEra) {
        return withReliableStore(seed, instanceCount, firstEra, SHORT_STEP);
    }

    /** Creates a simulation with a reliable store in which time passes in steps of a length. */
    static LeaseSimulation withReliableStore(
            long seed, int instanceCount, StoreEra firstEra, Duration step) {
        return new LeaseSimulation(seed, instanceCount, firstEra, false, step);
    }

    private LeaseSimulation(
            long seed, int instanceCount, StoreEra firstEra, boolean losses, Duration step) {
        this.step = step;
        random = new Random(seed);
        store = new SimulatedLeaseStore(firstEra);
        drills = new StoreDrills(seed, store);
        stepsBetweenFaults = firstEra.isStated() && seed % 2 == 0 ? 400 : 100;
        int lostPercent = random.nextInt(4) == 0 ? 30 : random.nextInt(5);
        lostAnswerPercent = losses ? lostPercent : 0;
        int latePercent = random.nextInt(4) == 0 ? 20 : 0;
        lateWritePercent = losses ? latePercent : 0;
        maxStoreDelayMillis = random.nextInt(4) == 0 ? 350 : 4;
        maxStatementDelayMillis = random.nextInt(2) == 0 ? 2500 : 1;
        for (int number = 1; number <= instanceCount; number++) {
            instances.add(new SimulatedInstance(number));
        }
    }

    private void schedule(Duration delay, Runnable run) {
        sequence++;
        tasks.add(new Task(now.plus(delay), sequence, run));
    }

    Instant now() {
        return now;
    }

    /** Tells whether every instance was told to stop and has not been restarted since. */
    boolean allStopping() {
        return instances.stream().allMatch(instance -> instance.stopping);
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    /** Returns when all faults so far have ended, late writes too. */
    Instant quietAt() {
        Instant quiet = later(later(storeDownUntil, lateUntil), drills.lastReturn());
        for (SimulatedInstance instance : instances) {
            quiet = later(quiet, later(instance.pausedUntil, instance.downUntil));
            quiet = later(quiet, instance.partitionedUntil);
        }
        return later(quiet, now);
    }

    /** Lets the store go away now and return from a copy of a certain age. */
    void drill(Duration age) {
        beginDrill(drills.begin(now, age));
    }

    private void beginDrill(StoreDrills.Drill drill) {
        Instant back = now.plus(drill.away());
        storeDownUntil = later(storeDownUntil, back);
        schedule(drill.away(), () -> endDrill(drill));
    }

    private void endDrill(StoreDrills.Drill drill) {
        store.restore(drill.copy(), now);
        for (SimulatedInstance instance : instances) {
            schedule(drills.learnDelay(), () -> learnPresentEra(instance));
        }
    }

    /** Lets an instance learn the present era from an answer to another call. */
    private void learnPresentEra(SimulatedInstance instance) {
        boolean reachesStore = !now.isBefore(instance.partitionedUntil);
        if (instance.isRunning() && reachesStore && !now.isBefore(storeDownUntil)) {
            instance.learnEra(store.era());
        }
    }

    void run(Duration time, boolean faults) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(step);
            while (!tasks.isEmpty() && !tasks.peek().at().isAfter(now)) {
                tasks.poll().run().run();
            }
            if (faults && random.nextInt(stepsBetweenFaults) == 0) {
                injectFault(instances.get(random.nextInt(instances.size())));
            }
            if (faults) {
                drills.step(now).ifPresent(this::beginDrill);
            }
            instances.forEach(SimulatedInstance::step);
            if (random.nextInt(20) == 0) {
                deliverHolderResponses();
            }
        }
    }

    /** Delivers the holder's responses to the instances that are not partitioned from it. */
    private void deliverHolderResponses() {
        for (SimulatedInstance holder : instances) {
            if (!isLastHolder(holder) || !holder.isRunning()) {
                continue;
            }
            boolean holding = holder.manager.holding(now);
            StorePosition renewedAt =
                    holder.manager
                            .latestRecord()
                            .map(LeaseRecord::position)
                            .orElse(StorePosition.START);
            for (SimulatedInstance other : instances) {
                boolean reachable =
                        other != holder
                                && other.isRunning()
                                && !now.isBefore(other.partitionedUntil)
                                && !now.isBefore(holder.partitionedUntil);
                if (reachable) {
                    Duration delay = Duration.ofMillis(random.nextInt(maxStatementDelayMillis));
                    schedule(delay, () -> deliverStatement(other, holder, holding, renewedAt));
                }
            }
        }
    }

    /** Returns whether an instance makes statements about the lease. */
    private boolean isLastHolder(SimulatedInstance instance) {
        // In one era the stored record tells; a returned copy need not show the holder.
        Optional<LeaseRecord> known =
                store.era().isStated() ? instance.manager.latestRecord() : store.read();
        return known.filter(record -> record.holder().equals(instance.id)).isPresent();
    }

    /** Delivers what a holder stated, unless the receiver has learnt of another holder since. */
    private void deliverStatement(
            SimulatedInstance other,
            SimulatedInstance holder,
            boolean holding,
            StorePosition renewedAt) {
        boolean knowsHolder =
                other.manager
                        .latestRecord()
                        .filter(record -> record.holder().equals(holder.id))
                        .isPresent();
        if (other.isRunning() && knowsHolder) {
            other.execute(
                    other.manager.handle(new LeaseEvent.HolderResponded(holding, renewedAt), now));
        }
    }

    private void injectFault(SimulatedInstance instance) {
        Duration time = Duration.ofMillis(500 + random.nextInt(6000));
        inject(RANDOM_FAULTS.get(random.nextInt(RANDOM_FAULTS.size())), instance, time);
    }

    /** Injects a fault of an instance, which is numbered from zero. */
    void inject(LeaseFault fault, int instance, Duration time) {
        inject(fault, instances.get(instance), time);
    }

    private void inject(LeaseFault fault, SimulatedInstance instance, Duration time) {
        switch (fault) {
            case PAUSE -> instance.pausedUntil = now.plus(time);
            case PARTITION -> instance.partitionedUntil = now.plus(time);
            case STORE_DOWN -> storeDownUntil = now.plus(time);
            case STOP -> {
                instance.stopping = true;
                instance.execute(instance.manager.handle(new LeaseEvent.Stopping(), now));
            }
            default -> {
                instance.downUntil = now.plus(time);
                instance.lastRun = Instant.EPOCH;
                instance.start();
            }
        }
    }

    /** Returns what is stored, and what each instance knows and may do, with the present time. */
    String state() {
        StringBuilder state = new StringBuilder(now + " " + store.era() + " " + store.read());
        for (SimulatedInstance instance : instances) {
            state.append('|').append(instance.knownEra).append(instance.manager.latestRecord());
            state.append(instance.manager.holding(now)).append(instance.manager.mayOrder(now));
            state.append(instance.isRunning()).append(instance.partitionedUntil.isAfter(now));
        }
        return state.toString();
    }
}
