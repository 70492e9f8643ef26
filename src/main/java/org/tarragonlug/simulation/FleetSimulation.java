package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingRoute;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.decision.forwarding.RequestKind;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.WeightedService;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.VirtualTime;

/** Runs the traffic of a scenario through simulated instances, a planner and model servers. */
final class FleetSimulation {
    static final String HOST = "simulated.example";

    /** Share of the busy requests by rank of the model, the busiest first. */
    private static final double[] BUSY_SHARES = {0.3, 0.16, 0.13, 0.12, 0.11, 0.10, 0.08};

    private static final int[] BUSY_REPLICAS = {5, 3, 2, 2, 2, 2, 2};
    private static final int RESIDENT_MODELS = 2;
    private static final double LISTING_DELAY_MILLIS = 25;
    private static final double WATCH_PAUSE_MILLIS = 1100;
    private static final Duration RESTART_DOWN_TIME = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT = Duration.ofMillis(1200);
    private static final Duration LISTING_EXPIRY = HEARTBEAT.multipliedBy(3);

    private final FleetScenario scenario;
    private final double[] busyShares;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final Map<String, SimulatedModel> catalog = new LinkedHashMap<>();
    private final Map<ServerId, ModelServer> servers = new LinkedHashMap<>();
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final SharedWeightStore weightStore;
    private final SimulatedPlanner planner;
    private final FleetRecorder recorder;
    private final List<SimulatedQuarantine> quarantines;
    private final Instant trafficStart;
    private long requestCount;
    private long listingCount;

    /** Share of the requests for busy models whose prompts have the crashing part. */
    private double crashingShare;

    FleetSimulation(FleetScenario scenario, Hasher hasher, long seed) {
        this.scenario = scenario;
        this.busyShares = evenedShares(scenario.busyModels());
        this.random = new Random(seed);
        this.trafficStart = Instant.EPOCH.plus(scenario.leadTime());
        this.recorder = new FleetRecorder(trafficStart);
        this.weightStore = new SharedWeightStore(time, scenario.parallelLoads());
        scenario.models().forEach(model -> catalog.put(model.name(), model));
        for (int number = 0; number < scenario.servers(); number++) {
            addServer(number);
        }
        placeModels();
        this.planner = new SimulatedPlanner(time, servers);
        for (int number = 0; number < scenario.instances(); number++) {
            instances.add(
                    new SimulatedInstance(
                            number, scenario, time, servers, planner, recorder, hasher));
        }
        quarantines = instances.stream().map(SimulatedInstance::quarantine).toList();
        quarantines.forEach(each -> each.connect(quarantines));
    }

    /** Makes all servers state their pace with their load. */
    void statePaces() {
        servers.values().forEach(ModelServer::statePace);
    }

    private void addServer(int number) {
        ServerId id = new ServerId("server-" + number);
        servers.put(
                id,
                new ModelServer(
                        number,
                        scenario,
                        catalog,
                        time,
                        weightStore,
                        () -> publishListing(servers.get(id))));
        time.afterMillis(
                random.nextDouble() * HEARTBEAT.toMillis(), () -> heartbeat(servers.get(id)));
    }

    /** Places busy models on several servers and others on one each, as far as there is room. */
    private void placeModels() {
        List<ModelServer> order = new ArrayList<>(servers.values());
        Collections.shuffle(order, random);
        int next = 0;
        for (int rank = 0; rank < 2 * scenario.busyModels(); rank++) {
            int replicas = rank < BUSY_REPLICAS.length ? BUSY_REPLICAS[rank] : 1;
            for (int replica = 0; replica < replicas; replica++) {
                order.get(next++ % order.size()).preload(scenario.models().get(rank).name());
            }
        }
        List<SimulatedModel> rare =
                new ArrayList<>(
                        scenario.models()
                                .subList(2 * scenario.busyModels(), scenario.models().size()));
        Collections.shuffle(rare, random);
        for (ModelServer server : order) {
            while (server.listing().models().size() < RESIDENT_MODELS && !rare.isEmpty()) {
                server.preload(rare.remove(0).name());
            }
            boolean fits = true;
            while (fits) {
                int index = 2 * scenario.busyModels() + random.nextInt(rareCount());
                fits = server.preloadDisk(scenario.models().get(index).name());
            }
        }
    }

    /** Publishes a listing if adapters changed, which servers do not tell at once. */
    private void heartbeat(ModelServer server) {
        if (server.takeAdaptersChanged() && !server.isDown()) {
            publishListing(server);
        }
        time.after(HEARTBEAT, () -> heartbeat(server));
    }

    private void publishListing(ModelServer server) {
        ServerListing listing = server.listing();
        listingCount++;
        long version = listingCount;
        time.afterMillis(LISTING_DELAY_MILLIS, () -> planner.onServerListed(listing));
        for (SimulatedInstance instance : instances) {
            time.afterMillis(
                    LISTING_DELAY_MILLIS + random.nextDouble() * WATCH_PAUSE_MILLIS,
                    () -> instance.onServerListed(listing, version));
        }
    }

    FleetRecorder run() {
        ForwardingTable table = table();
        planner.start(table);
        for (SimulatedInstance instance : instances) {
            instance.start(table, random.nextDouble() * 400);
            servers.values()
                    .forEach(
                            each ->
                                    instance.post(
                                            new ForwardingEvent.ServerListed(each.listing())));
        }
        time.runUntil(trafficStart);
        scenario.faults().forEach(fault -> time.after(fault.at(), () -> begin(fault)));
        scenario.requests().forEach(this::scheduleArrival);
        time.runUntil(trafficStart.plus(scenario.length()).plusSeconds(20));
        return recorder;
    }

    SimulatedPlanner planner() {
        return planner;
    }

    /** Returns the quarantine of each instance; the first one decides for all. */
    List<SimulatedQuarantine> quarantines() {
        return quarantines;
    }

    List<ModelServer> servers() {
        return List.copyOf(servers.values());
    }

    VirtualTime time() {
        return time;
    }

    int remoteLoads() {
        return weightStore.started();
    }

    private ForwardingTable table() {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        scenario.models()
                .forEach(
                        model ->
                                models.put(
                                        model.name(),
                                        model.specification(scenario.remoteLoadTime())));
        ModelCatalog modelCatalog =
                new ModelCatalog(
                        models,
                        scenario.capacityMegabytes(),
                        scenario.adapterSlots(),
                        scenario.loadsPerSecond());
        List<ForwardingRoute> routes = scenario.requests().stream().map(this::route).toList();
        return new ForwardingTable(
                new ConfigurationVersion(1),
                routes,
                List.of(
                        new ForwardingService(
                                ModelServer.SERVICE, Optional.of(modelCatalog), 1000)));
    }

    static String path(RequestProfile profile) {
        return "/" + profile.name() + "/";
    }

    private ForwardingRoute route(RequestProfile profile) {
        return new ForwardingRoute(
                new RouteName(profile.name()),
                HOST,
                path(profile),
                RequestKind.STREAMING,
                profile.timeout(),
                profile.target(),
                profile.priority(),
                List.of(new WeightedService(ModelServer.SERVICE, 1)),
                profile.maximumAttempts(),
                profile.resumable(),
                profile.gapTarget());
    }

    // Faults

    private void begin(SimulatedFault fault) {
        if (fault.kind() == SimulatedFault.Kind.CRASHING_PART) {
            crashingShare = fault.factor();
            time.after(fault.length(), () -> crashingShare = 0);
            return;
        }
        if (fault.kind() == SimulatedFault.Kind.NO_PLANNING) {
            planner.setSuspended(true);
            time.after(fault.length(), () -> planner.setSuspended(false));
            return;
        }
        List<ModelServer> concerned = new ArrayList<>(servers.values());
        concerned.removeIf(ModelServer::isDown);
        Collections.shuffle(concerned, random);
        for (ModelServer server : concerned.subList(0, fault.servers())) {
            switch (fault.kind()) {
                case CRASH -> crash(server, fault.length());
                case SILENT_CRASH -> server.crash(fault.length());
                case RESTART -> restart(server, fault);
                case REPLACE -> {
                    unlist(server.id());
                    replace(server);
                }
                case SILENT_REPLACE -> {
                    time.after(LISTING_EXPIRY, () -> unlist(server.id()));
                    replace(server);
                }
                default -> slowDown(server, fault);
            }
        }
    }

    private void crash(ModelServer server, Duration length) {
        server.crash(length);
        publishListing(server);
    }

    private void restart(ModelServer server, SimulatedFault fault) {
        server.restart(RESTART_DOWN_TIME);
        unlist(server.id());
        time.after(RESTART_DOWN_TIME, () -> slowDown(server, fault));
    }

    private void slowDown(ModelServer server, SimulatedFault fault) {
        server.setSlowness(fault.factor());
        time.after(fault.length(), () -> server.setSlowness(1));
    }

    private void replace(ModelServer old) {
        old.crash(Duration.ofHours(1));
        int number = servers.size();
        addServer(number);
        publishListing(servers.get(new ServerId("server-" + number)));
    }

    private void unlist(ServerId server) {
        planner.onServerRemoved(server);
        for (SimulatedInstance instance : instances) {
            time.afterMillis(
                    random.nextDouble() * WATCH_PAUSE_MILLIS,
                    () -> instance.post(new ForwardingEvent.ServerUnlisted(server)));
        }
    }

    // Traffic

    private boolean inBurst() {
        Duration at = Duration.between(trafficStart, time.now());
        return at.compareTo(scenario.burstStart()) >= 0
                && at.compareTo(scenario.burstStart().plus(scenario.burstLength())) < 0;
    }

    private void scheduleArrival(RequestProfile profile) {
        double rate = profile.perSecond();
        if (profile.rareModels() && inBurst()) {
            rate *= scenario.burstFactor();
        }
        time.afterMillis(
                -1000 / rate * Math.log(1 - random.nextDouble()),
                () -> {
                    if (time.now().isBefore(trafficStart.plus(scenario.length()))) {
                        arrive(profile);
                        scheduleArrival(profile);
                    }
                });
    }

    private void arrive(RequestProfile profile) {
        SimulatedModel model = profile.rareModels() ? rareModel() : busyModel();
        boolean adapter = model.adapters() > 0 && random.nextDouble() < profile.adapterShare();
        ModelKey key =
                new ModelKey(
                        model.name(), adapter ? "a" + (1 + random.nextInt(model.adapters())) : "");
        PromptPrefix prefix = PromptPrefix.NONE;
        if (profile.sharedTokens() > 0) {
            int number = random.nextInt(profile.sharedParts());
            String part = model.name() + "#" + key.adapter() + "#" + number;
            List<PromptPartId> parts = new ArrayList<>(List.of(new PromptPartId(part)));
            if (crashingShare > 0 && !profile.rareModels() && isCrashing()) {
                parts.add(ModelServer.CRASHING_PART);
            }
            prefix = new PromptPrefix(part, profile.sharedTokens(), parts);
        }
        requestCount++;
        CallerRequest request =
                new CallerRequest(
                        requestCount,
                        profile,
                        key,
                        prefix,
                        (int) exponential(profile.promptTokens()),
                        (int) Math.min(4 * profile.events(), exponential(profile.events())),
                        random.nextInt(scenario.domains()),
                        time.now());
        attempt(request);
    }

    private boolean isCrashing() {
        return random.nextDouble() < crashingShare;
    }

    private double exponential(double mean) {
        return 1 - mean * Math.log(1 - random.nextDouble());
    }

    private int rareCount() {
        return scenario.models().size() - scenario.busyModels() * 2;
    }

    private SimulatedModel rareModel() {
        return scenario.models().get(scenario.busyModels() * 2 + random.nextInt(rareCount()));
    }

    /** Chooses among the busy models, whose ranks shift by one model each period. */
    private SimulatedModel busyModel() {
        double shift =
                (double) Duration.between(trafficStart, time.now()).toMillis()
                        / scenario.shiftPeriod().toMillis();
        int shifted = (int) shift + (random.nextDouble() < shift - (int) shift ? 1 : 0);
        double point = random.nextDouble();
        int rank = 0;
        while (rank < scenario.busyModels() - 1 && point > busyShare(rank)) {
            point -= busyShare(rank);
            rank++;
        }
        return scenario.models().get((rank + shifted) % (2 * scenario.busyModels()));
    }

    /**
     * Returns a fixed share if a few models are busy; with more of them, shares are less uneven.
     */
    private double busyShare(int rank) {
        return scenario.busyModels() <= BUSY_SHARES.length ? BUSY_SHARES[rank] : busyShares[rank];
    }

    private static double[] evenedShares(int count) {
        double[] shares = new double[count];
        for (int rank = 0; rank < count; rank++) {
            shares[rank] = 1 / Math.sqrt(rank + 1);
        }
        double sum = Arrays.stream(shares).sum();
        return Arrays.stream(shares).map(share -> share / sum).toArray();
    }

    /** Lets a caller ask one of the instances in its failure domain. */
    private void attempt(CallerRequest request) {
        int perDomain = scenario.instances() / scenario.domains();
        int index = request.domain + scenario.domains() * random.nextInt(perDomain);
        new CallerAttempt(request, instances.get(index), time, recorder, this::attempt).start();
    }
}
