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
import org.tarragonlug.id.StorePosition;

/**
 * Simulates several lease managers with a fake store in virtual time. Calls to the store are
 * delayed, refused, lost after they took effect, or carried out late. Instances are killed, paused
 * and partitioned from each other. Each instance gives orders to one server whenever it may.
 */
final class LeaseSimulation {
    static final Duration TURN = Duration.ofMillis(3000);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /** An order that an instance gave to the server. */
    record Order(Instant at, String holder, long fence) {}

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

        SimulatedInstance(int number) {
            id = new InstanceId("instance-" + number);
            address = "10.0.0." + number + ":1";
            start();
        }

        private void start() {
            processNumber++;
            stopping = false;
            manager = new LeaseManager(id, id + "-" + processNumber, address, TURN, true);
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
                    call(() -> write(write.record(), startedAt, processNumber));
                }
            }
        }

        private void call(Runnable atStore) {
            int callerProcess = processNumber;
            if (now.isBefore(partitionedUntil) || now.isBefore(storeDownUntil)) {
                schedule(CALL_TIMEOUT, () -> deliver(callerProcess, new LeaseEvent.CallFailed()));
                return;
            }
            schedule(Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis)), atStore);
        }

        private void read(int callerProcess) {
            Optional<LeaseRecord> found = Optional.ofNullable(stored);
            respond(callerProcess, new LeaseEvent.Read(found));
        }

        private void write(LeaseRecord record, Instant startedAt, int callerProcess) {
            boolean late = random.nextInt(100) < lateWritePercent;
            if (late) {
                schedule(Duration.ofMillis(1000 + random.nextInt(5000)), () -> applyWrite(record));
                schedule(CALL_TIMEOUT, () -> deliver(callerProcess, new LeaseEvent.CallFailed()));
                return;
            }
            Optional<LeaseRecord> written = applyWrite(record);
            LeaseEvent event =
                    written.isPresent()
                            ? new LeaseEvent.Written(written.get(), startedAt)
                            : new LeaseEvent.Conflicted(Optional.ofNullable(stored));
            respond(callerProcess, event);
        }

        private void respond(int callerProcess, LeaseEvent event) {
            boolean lost =
                    random.nextInt(100) < lostAnswerPercent || now.isBefore(partitionedUntil);
            Duration delay =
                    lost
                            ? CALL_TIMEOUT
                            : Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis));
            schedule(
                    delay,
                    () -> deliver(callerProcess, lost ? new LeaseEvent.CallFailed() : event));
        }

        private void deliver(int callerProcess, LeaseEvent event) {
            if (callerProcess != processNumber || now.isBefore(downUntil)) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                Duration delay = Duration.between(now, pausedUntil).plus(STEP);
                schedule(delay, () -> deliver(callerProcess, event));
                return;
            }
            execute(manager.handle(event, now));
        }
    }

    final List<Order> orders = new ArrayList<>();
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::sequence));
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final int lostAnswerPercent;
    private final int lateWritePercent;
    private final int maxStoreDelayMillis;

    /**
     * Longest time by which statements of holders are delayed, so that they overtake each other.
     */
    private final int maxStatementDelayMillis;

    private Instant now = Instant.ofEpochSecond(1000);
    private Instant storeDownUntil = Instant.EPOCH;
    private LeaseRecord stored;
    private long revision;
    private long sequence;

    LeaseSimulation(long seed, int instanceCount) {
        random = new Random(seed);
        lostAnswerPercent = random.nextInt(4) == 0 ? 30 : random.nextInt(5);
        lateWritePercent = random.nextInt(4) == 0 ? 20 : 0;
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

    private Optional<LeaseRecord> applyWrite(LeaseRecord record) {
        long currentRevision = stored == null ? 0 : stored.revision();
        if (currentRevision != record.revision()) {
            return Optional.empty();
        }
        revision++;
        stored =
                new LeaseRecord(
                        record.holder(),
                        record.process(),
                        record.address(),
                        record.fence(),
                        record.renewal(),
                        record.ordering(),
                        record.released(),
                        revision);
        return Optional.of(stored);
    }

    Instant now() {
        return now;
    }

    /** Tells whether every instance was told to stop and has not been restarted since. */
    boolean allStopping() {
        return instances.stream().allMatch(instance -> instance.stopping);
    }

    void run(Duration time, boolean faults) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            while (!tasks.isEmpty() && !tasks.peek().at().isAfter(now)) {
                tasks.poll().run().run();
            }
            if (faults && random.nextInt(100) == 0) {
                injectFault(instances.get(random.nextInt(instances.size())));
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
            if (stored == null || !stored.holder().equals(holder.id) || !holder.isRunning()) {
                continue;
            }
            boolean holding = holder.manager.holding(now);
            long heldRevision = holder.manager.latestRecord().map(LeaseRecord::revision).orElse(0L);
            for (SimulatedInstance other : instances) {
                boolean reachable =
                        other != holder
                                && other.isRunning()
                                && !now.isBefore(other.partitionedUntil)
                                && !now.isBefore(holder.partitionedUntil);
                if (reachable) {
                    Duration delay = Duration.ofMillis(random.nextInt(maxStatementDelayMillis));
                    schedule(delay, () -> deliverStatement(other, holder, holding, heldRevision));
                }
            }
        }
    }

    /** Delivers what a holder stated, unless the receiver has learnt of another holder since. */
    private void deliverStatement(
            SimulatedInstance other, SimulatedInstance holder, boolean holding, long revision) {
        boolean knowsHolder =
                other.manager
                        .latestRecord()
                        .filter(record -> record.holder().equals(holder.id))
                        .isPresent();
        if (other.isRunning() && knowsHolder) {
            other.execute(
                    other.manager.handle(
                            new LeaseEvent.HolderResponded(holding, StorePosition.of(revision)),
                            now));
        }
    }

    private void injectFault(SimulatedInstance instance) {
        Duration time = Duration.ofMillis(500 + random.nextInt(6000));
        switch (random.nextInt(5)) {
            case 0 -> instance.pausedUntil = now.plus(time);
            case 1 -> instance.partitionedUntil = now.plus(time);
            case 2 -> storeDownUntil = now.plus(time);
            case 3 -> {
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
}
