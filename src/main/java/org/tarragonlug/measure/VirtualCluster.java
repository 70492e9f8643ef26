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

/** Simulates members with failure detectors, and their network, in virtual time. */
final class VirtualCluster {
    /** Receives changes of the members' views and of their configurations. */
    interface Observer {
        /** Called when the observing member removed the subject from its view. */
        default void onMemberRemoved(int observer, int subject, long micros) {}

        /** Called when the observing member added the subject to its view. */
        default void onMemberAdded(int observer, int subject, long micros) {}

        /** Called when a member installed a version of the configuration. */
        default void onConfigurationInstalled(int member, long version, long micros) {}
    }

    static final Hasher HASHER = text -> Hashing.xxh3_64().hashCharsToLong(text);
    static final int DOMAINS = 5;

    /** Number of failure domains in the first region. The others are in the second region. */
    static final int FIRST_REGION_DOMAINS = 3;

    private static final long START_MILLIS = 1_800_000_000_000L;

    /** Largest difference of a member's clock from the true time. */
    private static final long MAXIMUM_CLOCK_SKEW_MICROS = 100_000;

    private static final long TICK_INTERVAL_MICROS = 100_000;
    private static final long SAME_DOMAIN_LATENCY_MICROS = 500;
    private static final long SAME_REGION_LATENCY_MICROS = 1_500;
    private static final long OTHER_REGION_LATENCY_MICROS = 30_000;
    private static final double MEAN_JITTER_MICROS = 300;

    /** Share of the messages that TCP has to retransmit: one in a thousand. */
    private static final double RETRANSMISSION_PROBABILITY = 0.001;

    private static final long RETRANSMISSION_DELAY_MICROS = 200_000;

    private final DetectorKind kind;
    private final SplittableRandom random;
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<InstanceId, Integer> memberNumbers = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(
                    Comparator.comparingLong(Scheduled::micros)
                            .thenComparingLong(Scheduled::sequence));
    private final NetworkTraffic traffic;
    private final Observer observer;
    private final SimulatedConfigurationHolders configurationHolders;
    private LinkRule linkRule = LinkRule.NONE;
    private long micros;
    private long scheduledCount;

    VirtualCluster(int size, DetectorKind kind, long seed, Observer observer) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.observer = observer;
        this.traffic = new NetworkTraffic(size);
        this.configurationHolders = new SimulatedConfigurationHolders(this, observer);
        for (int index = 0; index < size; index++) {
            InstanceId id = new InstanceId(String.format("i-%010x", random.nextLong(1L << 40)));
            memberNumbers.put(id, index);
            candidates.add(
                    new Candidate(
                            id,
                            "10.0." + index / 250 + "." + index % 250 + ":7000",
                            new FailureDomain("domain-" + domain(index))));
        }
        for (int index = 0; index < size; index++) {
            nodes.add(
                    new Node(
                            random.nextLong(
                                    -MAXIMUM_CLOCK_SKEW_MICROS, MAXIMUM_CLOCK_SKEW_MICROS)));
            start(index);
            schedule(random.nextLong(TICK_INTERVAL_MICROS), new Tick(index));
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

    /** Returns the present time on a member's clock, with its skew. */
    Instant now(int member) {
        long local = micros + nodes.get(member).skewMicros;
        return Instant.ofEpochMilli(START_MILLIS).plusNanos(local * 1_000);
    }

    SplittableRandom random() {
        return random;
    }

    NetworkTraffic traffic() {
        return traffic;
    }

    SimulatedConfigurationHolders configurationHolders() {
        return configurationHolders;
    }

    void setLinkRule(LinkRule newLinkRule) {
        linkRule = newLinkRule;
    }

    FailureDetector detector(int member) {
        return nodes.get(member).detector;
    }

    boolean isUp(int member) {
        return nodes.get(member).up;
    }

    int memberNumber(InstanceId instance) {
        return memberNumbers.get(instance);
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
        nodes.get(member).deferredDeliveries.clear();
        start(member);
    }

    void pause(int member, Duration length) {
        nodes.get(member).pausedUntil = micros + length.toNanos() / 1_000;
    }

    /** Runs the simulation for a length of virtual time. */
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
        scheduledCount++;
        schedule.add(new Scheduled(micros + delayMicros, scheduledCount, action));
    }

    void handle(int member, MembershipEvent event) {
        for (MembershipCommand command : nodes.get(member).detector.handle(event, now(member))) {
            execute(member, command);
        }
    }

    private void execute(int member, MembershipCommand command) {
        if (command instanceof MembershipCommand.Send send) {
            send(member, memberNumber(send.to()), PeerMessage.of(send.message()));
        } else if (command instanceof MembershipCommand.ViewChanged changed) {
            changed.lost()
                    .forEach(id -> observer.onMemberRemoved(member, memberNumber(id), micros));
            changed.joined()
                    .forEach(id -> observer.onMemberAdded(member, memberNumber(id), micros));
        } else if (command instanceof MembershipCommand.NewerConfigurationDetected seen) {
            configurationHolders.onNewerVersionSeen(member, seen);
        }
    }

    void send(int from, int to, PeerMessage message) {
        traffic.countMessage(from, to, message, micros);
        if (linkRule.drops(from, to, micros)) {
            return;
        }
        schedule(latency(from, to), new Delivery(from, to, message));
    }

    private long latency(int from, int to) {
        long base = OTHER_REGION_LATENCY_MICROS;
        if (domain(from) == domain(to)) {
            base = SAME_DOMAIN_LATENCY_MICROS;
        } else if (inFirstRegion(from) == inFirstRegion(to)) {
            base = SAME_REGION_LATENCY_MICROS;
        }
        double jitter = -MEAN_JITTER_MICROS * Math.log(1 - random.nextDouble());
        long retransmission =
                random.nextDouble() < RETRANSMISSION_PROBABILITY ? RETRANSMISSION_DELAY_MICROS : 0;
        return base + (long) jitter + retransmission;
    }

    private void receive(Delivery delivery) {
        Node node = nodes.get(delivery.to());
        if (!node.up) {
            return;
        }
        if (micros < node.pausedUntil) {
            node.deferredDeliveries.add(delivery);
            return;
        }
        if (delivery.message() instanceof PeerMessage.Membership membership) {
            handle(
                    delivery.to(),
                    new MembershipEvent.MessageReceived(
                            instance(delivery.from()), membership.content()));
        } else {
            configurationHolders.onMessage(delivery.from(), delivery.to(), delivery.message());
        }
    }

    private void tick(int member) {
        Node node = nodes.get(member);
        if (node.up && micros >= node.pausedUntil) {
            // After a pause, the timer fires before the deferred messages are delivered. This order
            // is harder for the detector because all peers look silent.
            handle(member, new MembershipEvent.Tick());
            configurationHolders.tick(member);
            while (!node.deferredDeliveries.isEmpty()) {
                receive(node.deferredDeliveries.poll());
            }
        }
    }

    private static final class Node {
        private final long skewMicros;
        private final Deque<Delivery> deferredDeliveries = new ArrayDeque<>();
        private FailureDetector detector;
        private boolean up;
        private long pausedUntil;

        Node(long skewMicros) {
            this.skewMicros = skewMicros;
        }
    }

    private record Scheduled(long micros, long sequence, Runnable action) {}

    private final class Tick implements Runnable {
        private final int member;

        Tick(int member) {
            this.member = member;
        }

        @Override
        public void run() {
            tick(member);
            schedule(TICK_INTERVAL_MICROS, this);
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
