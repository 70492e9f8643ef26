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

/**
 * Several lease keepers over a fake store in virtual time. Calls are delayed, refused, lost after
 * they took effect or carried out late; instances are killed, paused and cut off from each other.
 * Each instance gives an order to one server whenever it may.
 */
final class LeaseSimulation {
    static final Duration TURN = Duration.ofMillis(3000);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /** An order that reached the server. */
    record Order(Instant at, String holder, long fence) {}

    private record Task(Instant at, long sequence, Runnable run) {}

    /** One instance with the process that runs on it. */
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
            manager = new LeaseManager(id, id + "-" + processNumber, address, TURN);
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
            int caller = processNumber;
            if (now.isBefore(partitionedUntil) || now.isBefore(storeDownUntil)) {
                schedule(CALL_TIMEOUT, () -> deliver(caller, new LeaseEvent.CallFailed()));
                return;
            }
            schedule(Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis)), atStore);
        }

        private void read(int caller) {
            Optional<LeaseRecord> found = Optional.ofNullable(stored);
            respond(caller, new LeaseEvent.Read(found));
        }

        private void write(LeaseRecord record, Instant startedAt, int caller) {
            boolean late = random.nextInt(100) < lateWritePercent;
            if (late) {
                schedule(Duration.ofMillis(1000 + random.nextInt(5000)), () -> applyWrite(record));
                schedule(CALL_TIMEOUT, () -> deliver(caller, new LeaseEvent.CallFailed()));
                return;
            }
            Optional<LeaseRecord> written = applyWrite(record);
            LeaseEvent event =
                    written.isPresent()
                            ? new LeaseEvent.Written(written.get(), startedAt)
                            : new LeaseEvent.Conflicted(Optional.ofNullable(stored));
            respond(caller, event);
        }

        private void respond(int caller, LeaseEvent event) {
            boolean lost = random.nextInt(100) < lostAnswerPercent || now.isBefore(partitionedUntil);
            Duration delay =
                    lost ? CALL_TIMEOUT : Duration.ofMillis(2 + random.nextInt(maxStoreDelayMillis));
            schedule(delay, () -> deliver(caller, lost ? new LeaseEvent.CallFailed() : event));
        }

        private void deliver(int caller, LeaseEvent event) {
            if (caller != processNumber || now.isBefore(downUntil)) {
                return;
            }
            if (now.isBefore(pausedUntil)) {
                Duration rest = Duration.between(now, pausedUntil).plus(STEP);
                schedule(rest, () -> deliver(caller, event));
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

    /** Tells whether every instance was told to stop and none was started again since. */
    boolean allStopping() {
        return instances.stream().allMatch(node -> node.stopping);
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

    /** The holder answers the others, as far as nothing is between them. */
    private void deliverHolderResponses() {
        for (SimulatedInstance holder : instances) {
            if (stored == null || !stored.holder().equals(holder.id) || !holder.isRunning()) {
                continue;
            }
            boolean holding = holder.manager.holding(now);
            long heldRevision = holder.manager.latestRecord().map(LeaseRecord::revision).orElse(0L);
            for (SimulatedInstance other : instances) {
                boolean reached =
                        other != holder
                                && other.isRunning()
                                && !now.isBefore(other.partitionedUntil)
                                && !now.isBefore(holder.partitionedUntil);
                boolean sees =
                        other.manager
                                .latestRecord()
                                .filter(seen -> seen.holder().equals(holder.id))
                                .isPresent();
                if (reached && sees) {
                    other.execute(
                            other.manager.handle(new LeaseEvent.HolderResponded(holding, heldRevision), now));
                }
            }
        }
    }

    private void injectFault(SimulatedInstance node) {
        Duration time = Duration.ofMillis(500 + random.nextInt(6000));
        switch (random.nextInt(5)) {
            case 0 -> node.pausedUntil = now.plus(time);
            case 1 -> node.partitionedUntil = now.plus(time);
            case 2 -> storeDownUntil = now.plus(time);
            case 3 -> {
                node.stopping = true;
                node.execute(node.manager.handle(new LeaseEvent.Stopping(), now));
            }
            default -> {
                node.downUntil = now.plus(time);
                node.lastRun = Instant.EPOCH;
                node.start();
            }
        }
    }
}
