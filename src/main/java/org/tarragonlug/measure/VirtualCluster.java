package org.tarragonlug.measure;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.FailureDetector;
import org.tarragonlug.decision.membership.MembershipCommand;
import org.tarragonlug.decision.membership.MembershipEvent;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerMessage;

/** Members with their failure detectors, and the network between them, in virtual time. */
final class VirtualCluster {
    /** Told about changes of views and of versions. */
    interface Observer {
        /** A member removed another one from its view. */
        default void lost(int observer, int subject, long micros) {}

        /** A member took another one into its view. */
        default void joined(int observer, int subject, long micros) {}

        /** A member put a version in force. */
        default void installed(int member, long version, long micros) {}
    }

    static final Hasher HASHER = text -> Hashing.xxh3_64().hashCharsToLong(text);
    static final int DOMAINS = 5;

    /** Failure domains of the first region. */
    static final int FIRST_REGION_DOMAINS = 3;

    private static final long START_MILLIS = 1_800_000_000_000L;

    /** Clocks of instances differ by up to this from the true time. */
    private static final long LARGEST_SKEW_MICROS = 100_000;

    private static final long TICK_MICROS = 100_000;
    private static final long SAME_DOMAIN_MICROS = 500;
    private static final long SAME_REGION_MICROS = 1_500;
    private static final long OTHER_REGION_MICROS = 30_000;
    private static final double MEAN_JITTER_MICROS = 300;

    /** One message in a thousand waits for a retransmission of TCP. */
    private static final double RETRANSMITTED = 0.001;

    private static final long RETRANSMISSION_MICROS = 200_000;

    private final DetectorKind kind;
    private final SplittableRandom random;
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<InstanceId, Integer> numbers = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(
                    Comparator.comparingLong(Scheduled::micros)
                            .thenComparingLong(Scheduled::order));
    private final Traffic traffic;
    private final Observer observer;
    private final ConfigurationSpread configurations;
    private LinkRule rule = LinkRule.NONE;
    private long micros;
    private long order;

    VirtualCluster(int size, DetectorKind kind, long seed, Observer observer) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.observer = observer;
        this.traffic = new Traffic(size);
        this.configurations = new ConfigurationSpread(this, observer);
        for (int index = 0; index < size; index++) {
            InstanceId id = new InstanceId(String.format("i-%010x", random.nextLong(1L << 40)));
            numbers.put(id, index);
            candidates.add(
                    new Candidate(
                            id,
                            "10.0." + index / 250 + "." + index % 250 + ":7000",
                            new FailureDomain("domain-" + domain(index))));
        }
        for (int index = 0; index < size; index++) {
            nodes.add(new Node(random.nextLong(-LARGEST_SKEW_MICROS, LARGEST_SKEW_MICROS)));
            start(index);
            schedule(random.nextLong(TICK_MICROS), new Tick(index));
        }
    }

    static int domain(int member) {
        return member % DOMAINS;
    }

    static boolean inFirstRegion(int member) {
        return domain(member) < FIRST_REGION_DOMAINS;
    }

    int size() {
        return nodes.size();
    }

    long micros() {
        return micros;
    }

    /** Returns the time by the clock of a member. */
    Instant now(int member) {
        long local = micros + nodes.get(member).skewMicros;
        return Instant.ofEpochMilli(START_MILLIS).plusNanos(local * 1_000);
    }

    SplittableRandom random() {
        return random;
    }

    Traffic traffic() {
        return traffic;
    }

    ConfigurationSpread configurations() {
        return configurations;
    }

    void rule(LinkRule newRule) {
        rule = newRule;
    }

    FailureDetector detector(int member) {
        return nodes.get(member).detector;
    }

    boolean isUp(int member) {
        return nodes.get(member).up;
    }

    int number(InstanceId instance) {
        return numbers.get(instance);
    }

    InstanceId instance(int member) {
        return candidates.get(member).instance();
    }

    private void start(int member) {
        Node node = nodes.get(member);
        long incarnation = START_MILLIS + micros / 1_000;
        ProcessId process = new ProcessId(instance(member) + "/" + incarnation);
        node.detector =
                kind.create(candidates.get(member), process, incarnation, HASHER, random.split());
        node.up = true;
        handle(member, new MembershipEvent.CandidatesListed(candidates));
    }

    void crash(int member) {
        nodes.get(member).up = false;
    }

    void restart(int member) {
        nodes.get(member).waiting.clear();
        start(member);
    }

    void pause(int member, Duration length) {
        nodes.get(member).pausedUntil = micros + length.toNanos() / 1_000;
    }

    /** Runs for a time. */
    void run(Duration length) {
        long end = micros + length.toNanos() / 1_000;
        while (!schedule.isEmpty() && schedule.peek().micros() <= end) {
            Scheduled next = schedule.poll();
            micros = next.micros();
            next.action().run();
        }
        micros = end;
    }

    void schedule(long delayMicros, Runnable action) {
        order++;
        schedule.add(new Scheduled(micros + delayMicros, order, action));
    }

    void handle(int member, MembershipEvent event) {
        for (MembershipCommand command : nodes.get(member).detector.handle(event, now(member))) {
            execute(member, command);
        }
    }

    private void execute(int member, MembershipCommand command) {
        if (command instanceof MembershipCommand.Send send) {
            send(member, number(send.to()), PeerMessage.of(send.message()));
        } else if (command instanceof MembershipCommand.ViewChanged changed) {
            changed.lost().forEach(id -> observer.lost(member, number(id), micros));
            changed.joined().forEach(id -> observer.joined(member, number(id), micros));
        } else if (command instanceof MembershipCommand.NewerConfigurationDetected seen) {
            configurations.seen(member, seen);
        }
    }

    void send(int from, int to, PeerMessage message) {
        traffic.count(from, to, message, micros);
        if (rule.drops(from, to, micros)) {
            return;
        }
        schedule(latency(from, to), new Delivery(from, to, message));
    }

    private long latency(int from, int to) {
        long base = OTHER_REGION_MICROS;
        if (domain(from) == domain(to)) {
            base = SAME_DOMAIN_MICROS;
        } else if (inFirstRegion(from) == inFirstRegion(to)) {
            base = SAME_REGION_MICROS;
        }
        double jitter = -MEAN_JITTER_MICROS * Math.log(1 - random.nextDouble());
        long retransmission = random.nextDouble() < RETRANSMITTED ? RETRANSMISSION_MICROS : 0;
        return base + (long) jitter + retransmission;
    }

    private void receive(Delivery delivery) {
        Node node = nodes.get(delivery.to());
        if (!node.up) {
            return;
        }
        if (micros < node.pausedUntil) {
            node.waiting.add(delivery);
            return;
        }
        if (delivery.message() instanceof PeerMessage.Membership membership) {
            handle(
                    delivery.to(),
                    new MembershipEvent.MessageReceived(
                            instance(delivery.from()), membership.content()));
        } else {
            configurations.received(delivery.from(), delivery.to(), delivery.message());
        }
    }

    private void tick(int member) {
        Node node = nodes.get(member);
        if (node.up && micros >= node.pausedUntil) {
            // After a pause the timer fires before the waiting messages: the harder order.
            handle(member, new MembershipEvent.Tick());
            configurations.tick(member);
            while (!node.waiting.isEmpty()) {
                receive(node.waiting.poll());
            }
        }
    }

    private static final class Node {
        private final long skewMicros;
        private final Deque<Delivery> waiting = new ArrayDeque<>();
        private FailureDetector detector;
        private boolean up;
        private long pausedUntil;

        Node(long skewMicros) {
            this.skewMicros = skewMicros;
        }
    }

    private record Scheduled(long micros, long order, Runnable action) {}

    private final class Tick implements Runnable {
        private final int member;

        Tick(int member) {
            this.member = member;
        }

        @Override
        public void run() {
            tick(member);
            schedule(TICK_MICROS, this);
        }
    }

    private final class Delivery implements Runnable {
        private final int from;
        private final int to;
        private final PeerMessage message;

        Delivery(int from, int to, PeerMessage message) {
            this.from = from;
            this.to = to;
            this.message = message;
        }

        int from() {
            return from;
        }

        int to() {
            return to;
        }

        PeerMessage message() {
            return message;
        }

        @Override
        public void run() {
            receive(this);
        }
    }
}
