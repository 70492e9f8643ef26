package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.DefaultPlacement;
import org.tarragonlug.decision.capacity.KeepWarmPolicy;
import org.tarragonlug.decision.capacity.LoadTimes;
import org.tarragonlug.decision.capacity.Placement;
import org.tarragonlug.decision.capacity.ServerCandidate;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.measure.TrafficTrace.Arrival;

/**
 * Simulates one keep-warm policy on a traffic trace in virtual time. The simulation uses the
 * placement of the production code and one replica per model.
 *
 * <p>The simulation models accelerator memory, checkpoint caches, load times that vary around a
 * rate per cache tier, and batching without a limit. The weight store serves four loads at once,
 * starts at most four a second, and serves prewarming last. Failures, several replicas of a model,
 * the time to unload and the memory of adapters are not modelled.
 */
final class KeepWarmSimulation {
    private static final Instant START = Instant.parse("2026-01-05T00:00:00Z");
    private static final long PREWARM_CHECK_INTERVAL = 10 * TrafficTrace.SECOND;
    private static final long PLACEMENT_RETRY_DELAY = TrafficTrace.SECOND;
    private static final int MAXIMUM_STORE_LOADS = 4;
    private static final long STORE_LOAD_INTERVAL = 250;
    private static final double HOUR_MILLIS = TrafficTrace.HOUR;

    private final List<Arrival> arrivals;
    private final List<ArtifactLimit> limits;
    private final KeepWarmPolicy policy;
    private final double coldStartWeight;
    private final long measuredFrom;
    private final Random random;
    private final LoadTimes loadTimes = new LoadTimes();
    private final Placement placement;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Model[] models;
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Deque<Model> storeQueue = new ArrayDeque<>();
    private final Deque<Model> storePrewarmQueue = new ArrayDeque<>();
    private final KeepWarmResult result = new KeepWarmResult();
    private long now;
    private long scheduledCount;
    private int runningStoreLoads;
    private long nextStoreLoadAt;

    KeepWarmSimulation(
            Deployment deployment,
            List<Arrival> arrivals,
            List<ArtifactLimit> limits,
            KeepWarmPolicy policy,
            double coldStartWeight,
            long measuredFrom,
            long seed) {
        this.arrivals = arrivals;
        this.limits = limits;
        this.policy = policy;
        this.coldStartWeight = coldStartWeight;
        this.measuredFrom = measuredFrom;
        this.random = new Random(seed);
        this.placement =
                new DefaultPlacement(loadTimes, DefaultPlacement.DEFAULT_SECONDS_PER_LOST_BENEFIT);
        for (int number = 0; number < deployment.servers(); number++) {
            servers.add(new SimulatedServer(number));
        }
        models = new Model[limits.size()];
        for (int number = 0; number < models.length; number++) {
            models[number] = new Model(number, limits.get(number));
        }
    }

    KeepWarmResult run(long endMillis) {
        schedule(PREWARM_CHECK_INTERVAL, this::checkPrewarming);
        schedule(measuredFrom, this::beginMeasuring);
        int next = 0;
        while (true) {
            long nextArrival =
                    next < arrivals.size() ? arrivals.get(next).atMillis() : Long.MAX_VALUE;
            long nextEvent = queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMillis;
            now = Math.min(nextArrival, nextEvent);
            if (now >= endMillis) {
                break;
            }
            if (nextEvent <= nextArrival) {
                queue.remove().action.run();
            } else {
                onArrival(arrivals.get(next++));
            }
        }
        now = endMillis;
        for (Model model : models) {
            model.accountIdle();
        }
        return result;
    }

    /** Starts the idle time of all models anew: time before the measured day does not count. */
    private void beginMeasuring() {
        for (Model model : models) {
            model.idleSince = now;
        }
    }

    private void onArrival(Arrival arrival) {
        Model model = models[arrival.model()];
        model.lastArrival = now;
        policy.recordArrivals(model.limit.artifact(), 1, nowInstant());
        if (model.ready) {
            start(model, arrival);
            return;
        }
        model.waiting.add(arrival);
        if (model.server == null) {
            place(model, false);
        }
    }

    private void place(Model model, boolean prewarming) {
        Optional<Placement.Choice> choice =
                placement.choose(model.limit, candidates(model), Set.of());
        if (choice.isEmpty()) {
            if (!prewarming) {
                schedule(now + PLACEMENT_RETRY_DELAY, () -> retryPlacement(model));
            }
            return;
        }
        if (prewarming && benefitLostBy(choice.get()) >= benefit(model)) {
            return;
        }
        SimulatedServer server = server(choice.get());
        for (int number : List.copyOf(server.models())) {
            if (choice.get().unloadFirst().contains(models[number].limit.artifact())) {
                unload(models[number]);
            }
        }
        model.server = server;
        model.idleSince = now;
        model.tier = server.tier(model.limit.artifact());
        server.beginLoad(model.number, model.limit);
        if (prewarming && measuring()) {
            result.prewarmed++;
        }
        if (model.tier == CacheTier.REMOTE) {
            (prewarming ? storePrewarmQueue : storeQueue).add(model);
            startStoreLoads();
        } else {
            long loadMillis = drawLoadMillis(model);
            schedule(now + loadMillis, () -> onLoaded(model, loadMillis));
        }
    }

    private void retryPlacement(Model model) {
        if (model.server == null && !model.waiting.isEmpty()) {
            place(model, false);
        }
    }

    private void startStoreLoads() {
        while (runningStoreLoads < MAXIMUM_STORE_LOADS
                && !(storeQueue.isEmpty() && storePrewarmQueue.isEmpty())) {
            Model model = storeQueue.isEmpty() ? storePrewarmQueue.remove() : storeQueue.remove();
            runningStoreLoads++;
            nextStoreLoadAt = Math.max(now, nextStoreLoadAt) + STORE_LOAD_INTERVAL;
            long loadMillis = drawLoadMillis(model);
            if (measuring()) {
                result.remoteLoads++;
            }
            schedule(
                    nextStoreLoadAt - STORE_LOAD_INTERVAL + loadMillis,
                    () -> {
                        runningStoreLoads--;
                        onLoaded(model, loadMillis);
                        startStoreLoads();
                    });
        }
    }

    private long drawLoadMillis(Model model) {
        double gigabytes = model.limit.memoryBytes() / (double) ModelCatalogue.GIGABYTE;
        double seconds =
                switch (model.tier) {
                    case MEMORY -> 1.5 + gigabytes / 12;
                    case DISK -> 4 + gigabytes / 2.2;
                    case REMOTE -> 7 + gigabytes / 0.9;
                };
        return (long) (seconds * Math.exp(0.15 * random.nextGaussian()) * TrafficTrace.SECOND);
    }

    private void onLoaded(Model model, long loadMillis) {
        model.server.endLoad(model.limit);
        loadTimes.recordLoad(model.limit, model.tier, Duration.ofMillis(loadMillis));
        model.ready = true;
        if (!model.waiting.isEmpty() && measuring()) {
            result.coldStarts++;
        }
        for (Arrival arrival : model.waiting) {
            recordWait(result.coldStartWaits, arrival);
            start(model, arrival);
        }
        model.waiting.clear();
        checkIdle(model);
    }

    private void start(Model model, Arrival arrival) {
        long adapterLoad = 0;
        if (arrival.adapter() != TrafficTrace.NO_ADAPTER && model.adapters.add(arrival.adapter())) {
            adapterLoad = 5 + random.nextInt(6);
        }
        recordWait(result.allWaits, arrival);
        if (model.running == 0) {
            model.accountIdle();
        }
        model.running++;
        schedule(
                now + adapterLoad + arrival.durationMillis(),
                () -> {
                    model.running--;
                    if (model.running == 0) {
                        model.idleSince = now;
                        checkIdle(model);
                    }
                });
    }

    private void recordWait(Histogram histogram, Arrival arrival) {
        if (arrival.atMillis() >= measuredFrom) {
            histogram.recordValue(now - arrival.atMillis());
        }
    }

    /** Unloads an idle model whose keep-warm time has expired, or schedules a check at expiry. */
    private void checkIdle(Model model) {
        if (!model.ready || model.running > 0) {
            return;
        }
        Duration keepTime =
                policy.keepFor(
                        model.limit.artifact(), coldStart(model), coldStartWeight, nowInstant());
        long until = model.lastArrival + keepTime.toMillis();
        if (until <= now) {
            unload(model);
            return;
        }
        long check = ++model.lastIdleCheck;
        schedule(
                until,
                () -> {
                    if (model.lastIdleCheck == check) {
                        checkIdle(model);
                    }
                });
    }

    private void unload(Model model) {
        model.accountIdle();
        model.server.unload(model.number, model.limit);
        model.server = null;
        model.ready = false;
        model.adapters.clear();
        model.lastIdleCheck++;
    }

    private void checkPrewarming() {
        schedule(now + PREWARM_CHECK_INTERVAL, this::checkPrewarming);
        for (Model model : models) {
            if (model.server == null
                    && policy.shouldPrewarm(
                            model.limit.artifact(),
                            coldStart(model),
                            coldStartWeight,
                            nowInstant())) {
                place(model, true);
            }
        }
    }

    private List<ServerCandidate> candidates(Model wanted) {
        List<ServerCandidate> candidates = new ArrayList<>();
        for (SimulatedServer server : servers) {
            List<ServerCandidate.IdleArtifact> idle = new ArrayList<>();
            for (int number : server.models()) {
                Model model = models[number];
                if (model.ready && model.running == 0) {
                    idle.add(
                            new ServerCandidate.IdleArtifact(
                                    model.limit.artifact(),
                                    model.limit.memoryBytes(),
                                    benefit(model)));
                }
            }
            candidates.add(
                    new ServerCandidate(
                            server.id(),
                            server.domain(),
                            server.freeBytes(),
                            server.tier(wanted.limit.artifact()),
                            server.loads(),
                            0,
                            false,
                            false,
                            idle));
        }
        return candidates;
    }

    private double benefit(Model model) {
        return policy.expectedBenefit(
                model.limit.artifact(), coldStart(model), coldStartWeight, nowInstant());
    }

    private double benefitLostBy(Placement.Choice choice) {
        double lost = 0;
        for (int number : server(choice).models()) {
            if (choice.unloadFirst().contains(models[number].limit.artifact())) {
                lost += benefit(models[number]);
            }
        }
        return choice.unloadFirst().isEmpty() ? Double.NEGATIVE_INFINITY : lost;
    }

    private SimulatedServer server(Placement.Choice choice) {
        return servers.stream()
                .filter(server -> server.id().equals(choice.server()))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the expected load time at the server with the fastest cached copy. */
    private Duration coldStart(Model model) {
        CacheTier best = CacheTier.REMOTE;
        for (SimulatedServer server : servers) {
            CacheTier tier = server.tier(model.limit.artifact());
            best = tier.compareTo(best) < 0 ? tier : best;
        }
        return loadTimes.expected(model.limit, best);
    }

    private boolean measuring() {
        return now >= measuredFrom;
    }

    private Instant nowInstant() {
        return START.plusMillis(now);
    }

    private void schedule(long atMillis, Runnable action) {
        queue.add(new Scheduled(atMillis, scheduledCount++, action));
    }

    /** A model and the state of its replica; the server is null without a replica. */
    private final class Model {
        private final int number;
        private final ArtifactLimit limit;
        private final List<Arrival> waiting = new ArrayList<>();
        private final Set<Integer> adapters = new HashSet<>();
        private SimulatedServer server;
        private CacheTier tier;
        private boolean ready;
        private int running;
        private long idleSince;
        private long lastArrival;
        private long lastIdleCheck;

        Model(int number, ArtifactLimit limit) {
            this.number = number;
            this.limit = limit;
        }

        void accountIdle() {
            if (server != null && running == 0 && measuring()) {
                double share = limit.memoryBytes() / (double) SimulatedServer.ACCELERATOR_BYTES;
                result.idleHours += (now - idleSince) / HOUR_MILLIS * share;
            }
        }
    }

    private record Scheduled(long atMillis, long sequence, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
