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
final class LeaseWorld {
    static final Duration TURN = Duration.ofMillis(3000);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

    /** An order that reached the server. */
    record Order(Instant at, String holder, long fence) {}

    private record Task(Instant at, long sequence, Runnable run) {}

    /** One instance with the process that runs on it. */
    private final class Node {
        private final InstanceId id;
        private final String address;
        private LeaseKeeper keeper;
        private int boot;
        private boolean stopping;
        private Instant frozenUntil = Instant.EPOCH;
        private Instant cutUntil = Instant.EPOCH;
        private Instant deadUntil = Instant.EPOCH;
        private Instant lastRun = Instant.EPOCH;

        Node(int number) {
            id = new InstanceId("instance-" + number);
            address = "10.0.0." + number + ":1";
            start();
        }

        private void start() {
            boot++;
            stopping = false;
            keeper = new LeaseKeeper(id, id + "-" + boot, address, TURN);
        }

        boolean runs() {
            return !now.isBefore(frozenUntil) && !now.isBefore(deadUntil);
        }

        void step() {
            if (!runs()) {
                return;
            }
            if (Duration.between(lastRun, now).toMillis() > 800 && lastRun != Instant.EPOCH) {
                execute(keeper.handle(new LeaseEvent.Paused(), now));
            }
            lastRun = now;
            execute(keeper.handle(new LeaseEvent.Tick(), now));
            if (keeper.mayOrder(now)) {
                orders.add(new Order(now, id.value(), keeper.fence().value()));
            }
        }

        void execute(List<LeaseCommand> commands) {
            for (LeaseCommand command : commands) {
                if (command instanceof LeaseCommand.Read) {
                    call(() -> read(boot));
                } else if (command instanceof LeaseCommand.Write write) {
                    Instant begun = now;
                    call(() -> write(write.record(), begun, boot));
                }
            }
        }

        private void call(Runnable atStore) {
            int caller = boot;
            if (now.isBefore(cutUntil) || now.isBefore(storeDownUntil)) {
                later(CALL_TIMEOUT, () -> answer(caller, new LeaseEvent.CallFailed()));
                return;
            }
            later(Duration.ofMillis(2 + random.nextInt(storeDelay)), atStore);
        }

        private void read(int caller) {
            Optional<LeaseRecord> found = Optional.ofNullable(stored);
            respond(caller, new LeaseEvent.Read(found));
        }

        private void write(LeaseRecord record, Instant begun, int caller) {
            boolean late = random.nextInt(100) < lateWrites;
            if (late) {
                later(Duration.ofMillis(1000 + random.nextInt(5000)), () -> takeEffect(record));
                later(CALL_TIMEOUT, () -> answer(caller, new LeaseEvent.CallFailed()));
                return;
            }
            Optional<LeaseRecord> written = takeEffect(record);
            LeaseEvent event =
                    written.isPresent()
                            ? new LeaseEvent.Written(written.get(), begun)
                            : new LeaseEvent.Conflicted(Optional.ofNullable(stored));
            respond(caller, event);
        }

        private void respond(int caller, LeaseEvent event) {
            boolean lost = random.nextInt(100) < lostAnswers || now.isBefore(cutUntil);
            Duration delay =
                    lost ? CALL_TIMEOUT : Duration.ofMillis(2 + random.nextInt(storeDelay));
            later(delay, () -> answer(caller, lost ? new LeaseEvent.CallFailed() : event));
        }

        private void answer(int caller, LeaseEvent event) {
            if (caller != boot || now.isBefore(deadUntil)) {
                return;
            }
            if (now.isBefore(frozenUntil)) {
                Duration rest = Duration.between(now, frozenUntil).plus(STEP);
                later(rest, () -> answer(caller, event));
                return;
            }
            execute(keeper.handle(event, now));
        }
    }

    final List<Order> orders = new ArrayList<>();
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::sequence));
    private final List<Node> nodes = new ArrayList<>();
    private final int lostAnswers;
    private final int lateWrites;
    private final int storeDelay;
    private Instant now = Instant.ofEpochSecond(1000);
    private Instant storeDownUntil = Instant.EPOCH;
    private LeaseRecord stored;
    private long revision;
    private long sequence;

    LeaseWorld(long seed, int instances) {
        random = new Random(seed);
        lostAnswers = random.nextInt(4) == 0 ? 30 : random.nextInt(5);
        lateWrites = random.nextInt(4) == 0 ? 20 : 0;
        storeDelay = random.nextInt(4) == 0 ? 350 : 4;
        for (int number = 1; number <= instances; number++) {
            nodes.add(new Node(number));
        }
    }

    private void later(Duration delay, Runnable run) {
        sequence++;
        tasks.add(new Task(now.plus(delay), sequence, run));
    }

    private Optional<LeaseRecord> takeEffect(LeaseRecord record) {
        long present = stored == null ? 0 : stored.revision();
        if (present != record.revision()) {
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
        return nodes.stream().allMatch(node -> node.stopping);
    }

    void run(Duration time, boolean faults) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            while (!tasks.isEmpty() && !tasks.peek().at().isAfter(now)) {
                tasks.poll().run().run();
            }
            if (faults && random.nextInt(100) == 0) {
                fault(nodes.get(random.nextInt(nodes.size())));
            }
            nodes.forEach(Node::step);
            if (random.nextInt(20) == 0) {
                hear();
            }
        }
    }

    /** The holder answers the others, as far as nothing is between them. */
    private void hear() {
        for (Node holder : nodes) {
            if (stored == null || !stored.holder().equals(holder.id) || !holder.runs()) {
                continue;
            }
            boolean holding = holder.keeper.holding(now);
            long told = holder.keeper.seen().map(LeaseRecord::revision).orElse(0L);
            for (Node other : nodes) {
                boolean reached =
                        other != holder
                                && other.runs()
                                && !now.isBefore(other.cutUntil)
                                && !now.isBefore(holder.cutUntil);
                boolean sees =
                        other.keeper
                                .seen()
                                .filter(seen -> seen.holder().equals(holder.id))
                                .isPresent();
                if (reached && sees) {
                    other.execute(
                            other.keeper.handle(new LeaseEvent.HolderHeard(holding, told), now));
                }
            }
        }
    }

    private void fault(Node node) {
        Duration time = Duration.ofMillis(500 + random.nextInt(6000));
        switch (random.nextInt(5)) {
            case 0 -> node.frozenUntil = now.plus(time);
            case 1 -> node.cutUntil = now.plus(time);
            case 2 -> storeDownUntil = now.plus(time);
            case 3 -> {
                node.stopping = true;
                node.execute(node.keeper.handle(new LeaseEvent.Stopping(), now));
            }
            default -> {
                node.deadUntil = now.plus(time);
                node.lastRun = Instant.EPOCH;
                node.start();
            }
        }
    }
}
