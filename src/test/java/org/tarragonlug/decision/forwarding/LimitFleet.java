package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.tarragonlug.id.ServerId;

/**
 * Many instances in virtual time before plain servers of 16 slots, of which one restarts under load
 * and may be slow at first. Totals of the requests in flight are up to 0.8 s old.
 */
final class LimitFleet {
    static final int SLOTS = 16;
    private static final int SERVERS = 10;
    private static final int QUEUE = 3 * SLOTS;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
    private static final double ANSWER_MILLIS = 250;
    private static final double NETWORK_MILLIS = 1;

    private record Timed(Instant at, long order, Runnable action) {}

    private final class Server {
        private final ServerId id;
        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private long startedMillis = 1;
        private int running;
        private int peak;
        private Instant fullyUsedAt = Instant.MAX;

        Server(int number) {
            id = new ServerId("server-" + number);
        }

        ServerListing listing() {
            ServerListing each = instances.get(0).listing(id.value(), ForwardingFixture.RECORDS);
            return new ServerListing(
                    id,
                    each.service(),
                    each.address(),
                    each.failureDomain(),
                    SLOTS,
                    ListedState.READY,
                    startedMillis,
                    Map.of(),
                    Set.of(),
                    Set.of());
        }

        double slowness() {
            return this == restarted && now.isBefore(fastAt) ? slowFactor : 1;
        }

        int total() {
            return running + waiting.size();
        }

        void receive(ForwardingFixture instance, long request, long attempt) {
            if (total() >= SLOTS + QUEUE) {
                rejections++;
                after(
                        NETWORK_MILLIS,
                        () ->
                                handle(
                                        instance,
                                        new ForwardingEvent.Rejected(
                                                instance.attempt(request),
                                                Rejection.BUSY,
                                                Optional.of(load()))));
                return;
            }
            waiting.add(() -> run(instance, request, attempt));
            admit();
        }

        private ReportedLoad load() {
            return new ReportedLoad(running, waiting.size(), SLOTS);
        }

        private void admit() {
            while (running < SLOTS && !waiting.isEmpty()) {
                running++;
                waiting.remove().run();
            }
            peak = Math.max(peak, total());
            if (this == restarted && total() >= usualTotal && fullyUsedAt.equals(Instant.MAX)) {
                fullyUsedAt = now;
            }
        }

        private void run(ForwardingFixture instance, long request, long attempt) {
            double millis = ANSWER_MILLIS * slowness() * (0.5 + random.nextDouble());
            after(
                    millis,
                    () -> {
                        running--;
                        admit();
                        ReportedLoad load = load();
                        after(NETWORK_MILLIS, () -> answer(instance, request, attempt, load));
                    });
        }
    }

    private final Random random;
    private final double slowFactor;
    private final List<ForwardingFixture> instances = new ArrayList<>();
    private final Map<ServerId, Server> servers = new LinkedHashMap<>();
    private final PriorityQueue<Timed> events =
            new PriorityQueue<>(Comparator.comparing(Timed::at).thenComparing(Timed::order));
    private final Map<ForwardingFixture, Map<ServerId, Integer>> reports = new HashMap<>();
    private final Map<ForwardingFixture, Map<Long, Instant>> arrivals = new HashMap<>();

    /** The present attempt of each request; a request without progress goes to another server. */
    private final Map<ForwardingFixture, Map<Long, Long>> attempts = new HashMap<>();

    private final List<Long> answerMillis = new ArrayList<>();
    private final double perSecond;
    private Instant now = Instant.ofEpochSecond(1000);
    private Instant listedAt = Instant.EPOCH;
    private Instant fastAt = Instant.EPOCH;
    private Server restarted;
    private double usualTotal;
    private long order;
    private long sends;
    private long rejections;
    private long refusals;

    /**
     * Creates a fleet.
     *
     * @param instanceCount number of instances
     * @param seed seed of arrivals and answer times
     * @param load share of the slots that is in use before the restart
     * @param slowFactor how much longer the restarted server takes at first
     */
    LimitFleet(int instanceCount, long seed, double load, double slowFactor) {
        this.random = new Random(seed);
        this.slowFactor = slowFactor;
        this.perSecond = load * SERVERS * SLOTS * 1000 / ANSWER_MILLIS;
        this.usualTotal = load * SLOTS;
        for (int number = 0; number < instanceCount; number++) {
            ForwardingFixture instance = new ForwardingFixture("instance-" + number).withRoutes();
            instances.add(instance);
            arrivals.put(instance, new HashMap<>());
            attempts.put(instance, new HashMap<>());
            handle(instance, new ForwardingEvent.InstancesCounted(instanceCount));
            after(random.nextDouble() * TICK.toMillis(), () -> tick(instance));
            after(random.nextDouble() * REPORT_PERIOD.toMillis(), () -> report(instance));
        }
        for (int number = 0; number < SERVERS; number++) {
            Server server = new Server(number);
            servers.put(server.id, server);
            instances.forEach(
                    each -> handle(each, new ForwardingEvent.ServerListed(server.listing())));
        }
        arrive();
    }

    /** Starts the first server anew; its requests of before have been answered. */
    void restart(Duration slowTime) {
        restarted = servers.values().iterator().next();
        instances.forEach(each -> handle(each, new ForwardingEvent.ServerUnlisted(restarted.id)));
        run(Duration.ofSeconds(2));
        restarted.startedMillis++;
        restarted.peak = 0;
        restarted.fullyUsedAt = Instant.MAX;
        fastAt = now.plus(slowTime);
        listedAt = now;
        answerMillis.clear();
        rejections = 0;
        for (ForwardingFixture each : instances) {
            after(
                    random.nextDouble() * 500,
                    () -> handle(each, new ForwardingEvent.ServerListed(restarted.listing())));
        }
    }

    void run(Duration length) {
        for (Instant end = now.plus(length); now.isBefore(end); ) {
            now = now.plus(STEP);
            Instant stepEnd = now;
            while (!events.isEmpty() && !events.peek().at().isAfter(stepEnd)) {
                Timed next = events.poll();
                now = next.at();
                next.action().run();
            }
            now = stepEnd;
        }
    }

    private void after(double millis, Runnable action) {
        order++;
        events.add(new Timed(now.plusNanos((long) (millis * 1e6)), order, action));
    }

    private void arrive() {
        ForwardingFixture instance = instances.get(random.nextInt(instances.size()));
        instance.now = now;
        List<ForwardingCommand> commands = instance.arrive("/read/1", "");
        arrivals.get(instance).put(instance.lastKey(), now);
        commands.forEach(each -> execute(instance, each));
        after(-1000 / perSecond * Math.log(1 - random.nextDouble()), this::arrive);
    }

    private void tick(ForwardingFixture instance) {
        handle(instance, new ForwardingEvent.Tick());
        after(TICK.toMillis(), () -> tick(instance));
    }

    private void report(ForwardingFixture instance) {
        reports.put(instance, instance.coordinator.fleet().inFlight());
        Map<ServerId, Integer> totals = new HashMap<>();
        reports.values()
                .forEach(
                        each -> each.forEach((id, count) -> totals.merge(id, count, Integer::sum)));
        after(
                NETWORK_MILLIS,
                () -> handle(instance, new ForwardingEvent.LoadAnnounced(totals, Set.of())));
        after(REPORT_PERIOD.toMillis(), () -> report(instance));
    }

    private void handle(ForwardingFixture instance, ForwardingEvent event) {
        instance.now = now;
        instance.handle(event).forEach(each -> execute(instance, each));
    }

    private void execute(ForwardingFixture instance, ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            Server server = servers.get(send.server());
            sends++;
            long attempt = sends;
            attempts.get(instance).put(send.request(), attempt);
            after(NETWORK_MILLIS, () -> server.receive(instance, send.request(), attempt));
        } else if (command instanceof ForwardingCommand.Refuse) {
            refusals++;
        }
    }

    private void answer(ForwardingFixture instance, long request, long attempt, ReportedLoad load) {
        if (attempts.get(instance).getOrDefault(request, 0L) != attempt) {
            return;
        }
        attempts.get(instance).remove(request);
        Instant arrived = arrivals.get(instance).remove(request);
        answerMillis.add(Duration.between(arrived, now).toMillis());
        handle(
                instance,
                new ForwardingEvent.Answered(instance.attempt(request), 200, Optional.of(load)));
    }

    /** Returns the most requests that the restarted server had at a time. */
    int peak() {
        return restarted.peak;
    }

    /** Returns when the restarted server first had its usual requests, from its listing on. */
    Duration timeToUsualUse() {
        return restarted.fullyUsedAt.equals(Instant.MAX)
                ? Duration.ofHours(1)
                : Duration.between(listedAt, restarted.fullyUsedAt);
    }

    long refusals() {
        return refusals;
    }

    /** Returns the given percentile of the times from arrival to answer since the restart. */
    long millis(double percentile) {
        List<Long> sorted = answerMillis.stream().sorted().toList();
        return sorted.get((int) (percentile / 100 * (sorted.size() - 1)));
    }

    @Override
    public String toString() {
        return String.format(
                "instances=%d peak=%d usual_after_ms=%d rejected=%d refused=%d"
                        + " p50=%d p99=%d p999=%d",
                instances.size(),
                peak(),
                timeToUsualUse().toMillis(),
                rejections,
                refusals,
                millis(50),
                millis(99),
                millis(99.9));
    }
}
