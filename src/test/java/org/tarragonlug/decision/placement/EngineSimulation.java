package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Simulates a planner with fake engines in virtual time. An engine carries out one order at a time
 * and checks the number of accepted orders that an order expects. The test fails if an engine holds
 * more than fits. Some orders are not answered and are carried out late. Listings and reports
 * arrive late.
 */
final class EngineSimulation {
    static final ServiceName SERVICE = new ServiceName("engines");
    static final double CAPACITY_MEGABYTES = 200;
    static final int ADAPTER_SLOTS = 4;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final InstanceId REPORTER = new InstanceId("reporter");

    private record Task(Instant at, long sequence, Runnable run) {}

    /** One fake engine. */
    final class Engine {
        final ServerId id;
        final Map<String, Set<String>> models = new LinkedHashMap<>();
        final Set<String> onDisk = new HashSet<>();
        private long started;
        private long orders;
        private boolean busy;
        private Instant lastListingArrival = Instant.EPOCH;

        Engine(int number) {
            id = new ServerId("server-" + number);
            started = now.toEpochMilli();
        }

        ServerListing listing() {
            Map<String, Set<String>> copy = new HashMap<>();
            models.forEach((name, adapters) -> copy.put(name, new HashSet<>(adapters)));
            return new ServerListing(
                    id,
                    SERVICE,
                    "10.1.0.1:" + id.value().substring(7),
                    new FailureDomain("domain-" + id.value().hashCode() % 3),
                    16,
                    ListedState.READY,
                    started,
                    copy,
                    Set.of(),
                    Set.copyOf(onDisk));
        }

        void publishListing() {
            ServerListing listing = listing();
            // The store delivers the listings of a server in the order in which they were written.
            Instant arrival = now.plusMillis(20 + random.nextInt(maxListingDelayMillis));
            lastListingArrival = arrival.isAfter(lastListingArrival) ? arrival : lastListingArrival;
            schedule(
                    Duration.between(now, lastListingArrival),
                    () -> post(new PlacementEvent.ServerListed(listing)));
        }

        OrderResult execute(PlannedOrder order) {
            if (busy || order.precondition() != orders) {
                return OrderResult.CONFLICT;
            }
            orders++;
            boolean load = order.action() == OrderAction.LOAD;
            if (order.key().hasAdapter()) {
                Set<String> adapters = models.get(order.key().model());
                if (adapters == null) {
                    return OrderResult.REFUSED;
                }
                if (load) {
                    adapters.add(order.key().adapter());
                } else {
                    adapters.remove(order.key().adapter());
                }
                assertAdaptersFit("adapter " + order.key());
                return load ? OrderResult.ACCEPTED : OrderResult.ALREADY_DONE;
            }
            String model = order.key().model();
            if (load == models.containsKey(model)) {
                orders--;
                return OrderResult.ALREADY_DONE;
            }
            busy = true;
            long processStart = started;
            if (load) {
                assertModelFits(model);
                boolean local = onDisk.contains(model);
                remoteLoads += local ? 0 : 1;
                schedule(
                        Duration.ofMillis(local ? 1000 : 6000),
                        () -> onLoaded(model, processStart));
            } else {
                schedule(Duration.ofMillis(20), () -> onUnloaded(model, processStart));
            }
            return OrderResult.ACCEPTED;
        }

        private void onLoaded(String model, long processStart) {
            if (processStart == started) {
                busy = false;
                models.put(model, new HashSet<>());
                onDisk.add(model);
                publishListing();
            }
        }

        private void onUnloaded(String model, long processStart) {
            if (processStart == started) {
                busy = false;
                models.remove(model);
                publishListing();
            }
        }

        private void assertModelFits(String model) {
            double used = sizes.get(model);
            for (String held : models.keySet()) {
                used += sizes.get(held);
            }
            assertTrue(used <= CAPACITY_MEGABYTES, name + ": " + id + " would hold " + used);
        }

        private void assertAdaptersFit(String what) {
            int adapters = models.values().stream().mapToInt(Set::size).sum();
            assertTrue(
                    adapters <= ADAPTER_SLOTS,
                    name + ": " + id + " holds " + adapters + " adapters after " + what);
        }

        void restart() {
            started = now.toEpochMilli();
            models.clear();
            orders = 0;
            busy = false;
            publishListing();
        }
    }

    private static final int FEW_MODELS = 30;

    private final Map<String, Double> sizes = new LinkedHashMap<>();
    private final int modelCount;
    final Map<ServerId, Engine> engines = new LinkedHashMap<>();
    final List<Duration> waits = new ArrayList<>();

    /** The last announced ready time of each model, as the duration from the announcement. */
    final Map<ModelKey, Duration> expectations = new HashMap<>();

    private final Map<ModelKey, Instant> waitingSince = new HashMap<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::sequence));
    private final String name;
    private final Random random;
    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final int lostOrderPercent;
    private final int maxListingDelayMillis;
    private Instant now = Instant.ofEpochSecond(1000);
    private long sequence;
    int remoteLoads;

    EngineSimulation(long seed, int servers) {
        this(seed, servers, FEW_MODELS);
    }

    /**
     * Creates engines that each have up to 12 random models on disk and hold two of them.
     *
     * @param seed seed of all random numbers
     * @param servers number of engines
     * @param models number of models in the catalog
     */
    EngineSimulation(long seed, int servers, int models) {
        name = "seed " + seed;
        modelCount = models;
        for (int number = 0; number < models; number++) {
            sizes.put("model-" + number, number % 3 == 0 ? 35.0 : 70.0);
        }
        random = new Random(seed);
        lostOrderPercent = random.nextInt(3) == 0 ? 30 : 0;
        maxListingDelayMillis = random.nextInt(3) == 0 ? 900 : 40;
        post(new PlacementEvent.TableInstalled(table()));
        for (int number = 0; number < servers; number++) {
            Engine engine = new Engine(number);
            engines.put(engine.id, engine);
            for (int copy = 0; copy < 12; copy++) {
                engine.onDisk.add("model-" + random.nextInt(modelCount));
            }
            for (String model : engine.onDisk.stream().limit(2).toList()) {
                engine.models.put(model, new HashSet<>());
            }
            post(new PlacementEvent.ServerListed(engine.listing()));
        }
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(engines.keySet()));
    }

    private ForwardingTable table() {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        sizes.forEach(
                (model, size) ->
                        models.put(
                                model,
                                new ModelSpecification(
                                        model,
                                        size,
                                        Duration.ofSeconds(6),
                                        Duration.ofMillis(300),
                                        Duration.ofSeconds(1),
                                        8,
                                        0.1)));
        ModelCatalog catalog = new ModelCatalog(models, CAPACITY_MEGABYTES, ADAPTER_SLOTS, 4);
        return new ForwardingTable(
                new ConfigurationVersion(1),
                List.of(),
                List.of(new ForwardingService(SERVICE, java.util.Optional.of(catalog), 100)));
    }

    private void schedule(Duration delay, Runnable run) {
        sequence++;
        tasks.add(new Task(now.plus(delay), sequence, run));
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                sendOrder(order);
            } else if (command instanceof PlacementCommand.RequestReport ask) {
                Engine engine = engines.get(ask.server());
                schedule(Duration.ofMillis(5), () -> deliverReport(engine));
            } else if (command instanceof PlacementCommand.AnnounceExpectation expected) {
                expectations.put(expected.key(), Duration.between(now, expected.ready()));
            }
        }
    }

    private void sendOrder(PlacementCommand.GiveOrder order) {
        Engine engine = engines.get(order.server());
        boolean unanswered = random.nextInt(100) < lostOrderPercent;
        if (unanswered) {
            long processStart = engine.started;
            schedule(
                    Duration.ofMillis(2000 + random.nextInt(10_000)),
                    () -> {
                        if (processStart == engine.started) {
                            engine.execute(order.order());
                        }
                    });
            schedule(
                    Duration.ofMillis(220),
                    () -> deliverAnswer(engine, order, OrderResult.UNKNOWN));
            return;
        }
        schedule(
                Duration.ofMillis(3),
                () -> {
                    boolean sameProcess = engine.started == order.startedMillis();
                    OrderResult result =
                            sameProcess ? engine.execute(order.order()) : OrderResult.REFUSED;
                    schedule(Duration.ofMillis(3), () -> deliverAnswer(engine, order, result));
                });
    }

    private void deliverAnswer(
            Engine engine, PlacementCommand.GiveOrder order, OrderResult result) {
        post(
                new PlacementEvent.OrderAnswered(
                        engine.id, order.startedMillis(), order.order(), result));
    }

    private void deliverReport(Engine engine) {
        ServerListing listing = engine.listing();
        ServerReport report = new ServerReport(listing.models(), engine.busy, engine.orders);
        long processStart = engine.started;
        schedule(
                Duration.ofMillis(5),
                () -> post(new PlacementEvent.ReportReceived(engine.id, processStart, report)));
    }

    /** Advances the time while requests for random models arrive and engines may restart. */
    void run(Duration time, double requestsPerSecond, boolean restarts) {
        Instant end = now.plus(time);
        Instant nextReport = now;
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            while (!tasks.isEmpty() && !tasks.peek().at().isAfter(now)) {
                tasks.poll().run().run();
            }
            if (random.nextDouble() < requestsPerSecond * STEP.toMillis() / 1000) {
                String model = "model-" + random.nextInt(modelCount);
                String adapter = random.nextInt(4) == 0 ? "a" + random.nextInt(8) : "";
                waitingSince.putIfAbsent(new ModelKey(model, adapter), now);
            }
            if (restarts && random.nextInt(1500) == 0) {
                engines.get(new ServerId("server-" + random.nextInt(engines.size()))).restart();
            }
            serveWaiting();
            if (!now.isBefore(nextReport)) {
                nextReport = now.plusMillis(100);
                reportDemand();
            }
            if (now.toEpochMilli() % 20 == 0) {
                post(new PlacementEvent.Tick());
            }
        }
    }

    private void serveWaiting() {
        waitingSince
                .entrySet()
                .removeIf(
                        each -> {
                            boolean held =
                                    engines.values().stream()
                                            .anyMatch(engine -> holds(engine, each.getKey()));
                            if (held) {
                                waits.add(Duration.between(each.getValue(), now));
                            }
                            return held;
                        });
    }

    private static boolean holds(Engine engine, ModelKey key) {
        Set<String> adapters = engine.models.get(key.model());
        return adapters != null && (!key.hasAdapter() || adapters.contains(key.adapter()));
    }

    private void reportDemand() {
        List<ModelDemand> demands = new ArrayList<>();
        waitingSince.forEach(
                (key, since) ->
                        demands.add(
                                new ModelDemand(
                                        SERVICE,
                                        key,
                                        0,
                                        1,
                                        0,
                                        Duration.between(now, since.plusSeconds(3)),
                                        Duration.ofSeconds(12))));
        post(new PlacementEvent.DemandReported(REPORTER, demands));
    }

    /** Adds a waiting request for a model; fails if an engine has a copy of the model. */
    void requestModelWithoutCopy(String model) {
        for (Engine engine : engines.values()) {
            assertFalse(engine.onDisk.contains(model), name + ": " + model + " has a copy");
        }
        waitingSince.putIfAbsent(new ModelKey(model, ""), now);
    }

    /** Returns the engines and the models that they hold, as "server-0 model-0". */
    Set<String> heldModels() {
        Set<String> held = new HashSet<>();
        for (Engine engine : engines.values()) {
            engine.models.keySet().forEach(model -> held.add(engine.id + " " + model));
        }
        return held;
    }

    /** Returns a model that no engine has a copy of. */
    String modelWithoutCopy() {
        return sizes.keySet().stream()
                .filter(model -> engines.values().stream().noneMatch(e -> e.onDisk.contains(model)))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the models that requests still wait for, with the duration of the wait. */
    Map<ModelKey, Duration> waiting() {
        Map<ModelKey, Duration> waiting = new HashMap<>();
        waitingSince.forEach((key, since) -> waiting.put(key, Duration.between(since, now)));
        return waiting;
    }
}
