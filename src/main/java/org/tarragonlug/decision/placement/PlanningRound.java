package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * One planning round for the servers of one service. The round loads models and adapters that
 * requests wait for, models in demand without a replica, further replicas of busy models, and
 * models of which no server has a copy.
 *
 * <p>A model is loaded on the server where it will be ready first ({@link ReadyTimeEstimator}). If
 * the server has to make room, it unloads the model with the lowest value ({@link ReplicaPolicy}).
 */
final class PlanningRound {
    private static final Duration EXPECTATION_INTERVAL = Duration.ofMillis(300);

    /** An adapter used within this time is not unloaded to make room for another adapter. */
    private static final Duration ADAPTER_IN_USE = Duration.ofMillis(500);

    /**
     * How long no model is prefetched after a server was added, because servers that are listed
     * shortly afterwards may already have copies.
     */
    private static final Duration NEW_SERVER_DELAY = Duration.ofMillis(1500);

    /**
     * How long after the last server was added the models that servers hold count as used, if no
     * demand is known yet.
     */
    private static final Duration ASSUMED_USE_PERIOD = Duration.ofSeconds(30);

    /** Ranks servers with busy models behind all others as a target for prefetching. */
    private static final int BUSY_SERVER_RANK = 1000;

    /** Cost of a second replica in the same failure domain, in milliseconds of load time. */
    private static final int SAME_DOMAIN_COST = 1500;

    /** Cost of having to unload another model first, in milliseconds of load time. */
    private static final int UNLOAD_COST = 500;

    /**
     * Cost of a replica on a slow server, in milliseconds of load time. It exceeds the loads from
     * memory and disk, but not those from the weight store, which other models need as well.
     */
    private static final int SLOW_SERVER_COST = 2000;

    private final PlanContext context;
    private final Consumer<PlacementCommand> commands;
    private final OrderManager orders;
    private final WeightStoreLimit storeLimit;
    private final DemandTracker demand;
    private final ServiceName service;
    private final ModelCatalog catalog;
    private final Instant now;
    private final PlacementView view;
    private final ReplicaPolicy policy;
    private final ReadyTimeEstimator readyTimes;

    /**
     * Prepares a planning round.
     *
     * @param service the service
     * @param catalog models of the service
     * @param context state that is kept between rounds
     * @param commands receives announcements to the instances
     * @param now the present time
     */
    PlanningRound(
            ServiceName service,
            ModelCatalog catalog,
            PlanContext context,
            Consumer<PlacementCommand> commands,
            Instant now) {
        this.context = context;
        this.commands = commands;
        this.orders = context.orders;
        this.storeLimit = context.storeLimit;
        this.demand = context.demand;
        this.service = service;
        this.catalog = catalog;
        this.now = now;
        this.view = new PlacementView(service, catalog, context.orders);
        this.policy = new ReplicaPolicy(view, context, service, now);
        this.readyTimes = new ReadyTimeEstimator(view, policy, context, now);
    }

    void run() {
        List<DemandTracker.WaitingModel> waitingModels = demand.waitingModels(service, now);
        waitingModels.forEach(waiting -> policy.markWaitedFor(waiting.key().model()));
        continueReservedLoads();
        List<String> recent = demand.recentModels(service, now);
        recent.stream().filter(policy::isSaturated).forEach(this::addReplicaIfNeeded);
        Set<String> plannedModels = new HashSet<>();
        for (DemandTracker.WaitingModel waiting : waitingModels) {
            serveWaiting(waiting, plannedModels);
        }
        for (String model : recent) {
            if (policy.rate(model) >= ReplicaPolicy.WARM_RATE
                    && plannedModels.add(model)
                    && view.serversHolding(model).isEmpty()) {
                startLoadingIfNeeded(model, "asked_for");
            }
        }
        recent.forEach(this::addReplicaIfNeeded);
        prewarm();
        prefetch();
    }

    /** Continues the loads for which a server was reserved while it made room. */
    private void continueReservedLoads() {
        for (PlannedServer server : view.servers()) {
            if (server.reservedFor == null || !server.canTakeOrder()) {
                continue;
            }
            String model = server.reservedFor;
            if (server.holds(model) || catalog.model(model).isEmpty()) {
                reserve(server, null);
            } else {
                loadOrMakeRoom(server, model, "room_made");
            }
        }
    }

    private void reserve(PlannedServer server, String model) {
        server.reservedFor = model;
        view.refresh(server);
    }

    private void serveWaiting(DemandTracker.WaitingModel waiting, Set<String> plannedModels) {
        ModelKey key = waiting.key();
        if (catalog.model(key.model()).isEmpty()) {
            return;
        }
        List<PlannedServer> servers = view.serversHolding(key.model());
        if (servers.isEmpty()) {
            if (plannedModels.add(key.model())) {
                startLoadingIfNeeded(key.model(), "waited_for");
            }
            announceExpectation(waiting);
        } else if (key.hasAdapter()) {
            loadAdapterIfNeeded(key, servers);
        }
    }

    private void announceExpectation(DemandTracker.WaitingModel waiting) {
        Instant sentAt = context.expectationsSent.getOrDefault(waiting.key(), Instant.EPOCH);
        if (now.isBefore(sentAt.plus(EXPECTATION_INTERVAL))) {
            return;
        }
        context.expectationsSent.put(waiting.key(), now);
        commands.accept(
                new PlacementCommand.AnnounceExpectation(
                        service, waiting.key(), readyTimes.earliestReady(waiting.key().model())));
    }

    /** Starts to load a model where it will be ready first, unless a server already prepares it. */
    private void startLoadingIfNeeded(String model, String reason) {
        if (view.isInPreparation(model)) {
            return;
        }
        PlannedServer best = null;
        Instant earliest = null;
        for (PlannedServer server : view.servers()) {
            Optional<Instant> ready = readyTimes.readyAt(server, model);
            if (ready.isPresent() && (earliest == null || ready.get().isBefore(earliest))) {
                earliest = ready.get();
                best = server;
            }
        }
        if (best == null) {
            return;
        }
        readyTimes.planLoad(best, earliest);
        if (best.canTakeOrder() && best.reservedFor == null) {
            loadOrMakeRoom(best, model, reason);
        }
    }

    /**
     * Tells whether a server may begin a load from the weight store. Servers that make room for
     * such a load count like loads in progress; otherwise more of them would give up their models
     * than the store can serve.
     */
    private boolean storeAllows(PlannedServer server) {
        int loads = view.remoteLoads() + orders.reservedRemoteLoads(server);
        return storeLimit.allows(catalog.loadsPerSecond(), loads, now);
    }

    private boolean loadOrMakeRoom(PlannedServer server, String model, String reason) {
        if (server.tier(model) == CopyTier.REMOTE && !storeAllows(server)) {
            reserve(server, null);
            return false;
        }
        if (view.hasRoom(server, model)) {
            orders.giveOrder(server, OrderAction.LOAD, new ModelKey(model, ""), reason, now);
            reserve(server, model);
            return true;
        }
        Optional<String> victim = policy.victim(server, model);
        if (victim.isEmpty()) {
            reserve(server, null);
            return false;
        }
        ModelKey unloaded = new ModelKey(victim.get(), "");
        orders.giveOrder(server, OrderAction.UNLOAD, unloaded, "makes_room_for_" + model, now);
        reserve(server, model);
        return true;
    }

    private void addReplicaIfNeeded(String model) {
        int replicas = view.plannedReplicas(model);
        boolean enough = replicas >= policy.desiredReplicas(model);
        if (catalog.model(model).isEmpty() || enough && !policy.needsFastReplica(model)) {
            return;
        }
        boolean allowRemote = replicas <= 1 || policy.isSaturated(model);
        chooseReplicaServer(model, allowRemote, victim -> true)
                .filter(server -> !enough || !server.isSlow())
                .ifPresent(server -> loadOrMakeRoom(server, model, "busy"));
    }

    /**
     * Loads models with adapters before they are requested, because operators declare adapters for
     * widely used models. Does so only from local copies, only while no demand for the service is
     * known, and not in place of another model with adapters, which it would then load again.
     */
    private void prewarm() {
        if (context.firstDemand.containsKey(service)) {
            return;
        }
        for (ModelSpecification model : catalog.models().values()) {
            if (model.adapters() > 0 && view.plannedReplicas(model.name()) == 0) {
                chooseReplicaServer(model.name(), false, victim -> !view.hasAdapters(victim))
                        .ifPresent(server -> loadOrMakeRoom(server, model.name(), "prewarmed"));
            }
        }
    }

    private Optional<PlannedServer> chooseReplicaServer(
            String model, boolean allowRemote, Predicate<String> mayMakeRoom) {
        Set<FailureDomain> domains = new HashSet<>();
        view.serversHolding(model).forEach(server -> domains.add(server.listing().failureDomain()));
        PlannedServer best = null;
        double lowest = Double.MAX_VALUE;
        for (PlannedServer server : view.servers()) {
            if (!server.canTakeOrder()
                    || server.reservedFor != null
                    || server.holds(model)
                    || !allowRemote && server.tier(model) == CopyTier.REMOTE) {
                continue;
            }
            boolean hasRoom = view.hasRoom(server, model);
            if (!hasRoom && policy.victim(server, model).filter(mayMakeRoom).isEmpty()) {
                continue;
            }
            double cost = readyTimes.loadTime(server, model).toMillis();
            cost += domains.contains(server.listing().failureDomain()) ? SAME_DOMAIN_COST : 0;
            cost += hasRoom ? 0 : UNLOAD_COST;
            cost += server.isSlow() ? SLOW_SERVER_COST : 0;
            if (cost < lowest) {
                lowest = cost;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Loads a model of which no server has a copy, while the weight store has spare capacity. */
    private void prefetch() {
        boolean noDemandYet = !context.firstDemand.containsKey(service);
        int servers = view.servers().size();
        int maxLoads = noDemandYet ? servers : Math.max(1, servers / 3);
        if (orders.remoteLoads() >= Math.min(storeLimit.maxParallelLoads(), maxLoads)
                || !storeAllows(null)
                || now.isBefore(orders.lastServerAddedAt().plus(NEW_SERVER_DELAY))) {
            return;
        }
        boolean onlyIntoFreeRoom = noDemandYet && mayHeldModelsBeInUse();
        Set<String> present = presentModels();
        for (String model : catalog.models().keySet()) {
            if (!present.contains(model) && prefetch(model, onlyIntoFreeRoom)) {
                return;
            }
        }
    }

    /** Returns the models that some server holds, is preparing, or has a copy of. */
    private Set<String> presentModels() {
        Set<String> present = new HashSet<>();
        for (PlannedServer server : view.servers()) {
            present.addAll(server.models().keySet());
            present.addAll(server.listing().inMemory());
            present.addAll(server.listing().onDisk());
        }
        for (String model : catalog.models().keySet()) {
            if (view.isInPreparation(model)) {
                present.add(model);
            }
        }
        return present;
    }

    /**
     * Tells whether the models that servers held at the start may still be in use. Before the first
     * demand is known, any of them may be a busy one; one that stays unrequested is not.
     */
    private boolean mayHeldModelsBeInUse() {
        return now.isBefore(orders.lastServerAddedAt().plus(ASSUMED_USE_PERIOD));
    }

    /** Loads a model that no server has a copy of; returns whether a server takes it. */
    private boolean prefetch(String model, boolean onlyIntoFreeRoom) {
        PlannedServer best = null;
        int lowestRank = Integer.MAX_VALUE;
        for (PlannedServer server : view.servers()) {
            boolean possible =
                    view.hasRoom(server, model)
                            || !onlyIntoFreeRoom && policy.victim(server, model).isPresent();
            if (!server.canTakeOrder() || server.reservedFor != null || !possible) {
                continue;
            }
            int rank = prefetchRank(server);
            if (rank < lowestRank) {
                lowestRank = rank;
                best = server;
            }
        }
        return best != null && loadOrMakeRoom(best, model, "not_copied_yet");
    }

    private int prefetchRank(PlannedServer server) {
        int models = server.listing().onDisk().size() + server.models().size();
        return readyTimes.holdsBusyModel(server) ? models + BUSY_SERVER_RANK : models;
    }

    /**
     * Loads an adapter on a server with its model: where there is room, or else where the adapter
     * that makes room has been unused for the longest time.
     */
    private void loadAdapterIfNeeded(ModelKey key, List<PlannedServer> servers) {
        for (PlannedServer server : servers) {
            if (server.holds(key) || server.isLoadingAdapter(key)) {
                return;
            }
        }
        PlannedServer roomiest = null;
        PlannedServer leastUsed = null;
        Instant oldestUse = now.minus(ADAPTER_IN_USE);
        for (PlannedServer server : servers) {
            if (!server.canTakeOrder()) {
                continue;
            }
            if (hasRoomForAdapter(server, key)) {
                boolean roomier =
                        roomiest == null || server.adapters().size() < roomiest.adapters().size();
                roomiest = roomier ? server : roomiest;
            }
            Instant use = server.oldestAdapterUse();
            if (use.isBefore(oldestUse) && !server.isUnloadingAdapter()) {
                oldestUse = use;
                leastUsed = server;
            }
        }
        if (roomiest != null) {
            orders.giveOrder(roomiest, OrderAction.LOAD, key, "adapter_waited_for", now);
            view.refresh(roomiest);
        } else if (leastUsed != null) {
            ModelKey unused = leastUsed.leastRecentlyUsedAdapter(now).orElseThrow();
            orders.giveOrder(leastUsed, OrderAction.UNLOAD, unused, "makes_room_for_" + key, now);
            view.refresh(leastUsed);
        }
    }

    private boolean hasRoomForAdapter(PlannedServer server, ModelKey key) {
        double size = catalog.model(key.model()).orElseThrow().adapterMegabytes();
        return server.adapters().size() < catalog.adapterSlots()
                && size <= view.freeMegabytes(server);
    }
}
