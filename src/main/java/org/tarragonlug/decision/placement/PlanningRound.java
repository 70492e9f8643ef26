package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * One round of planning for the servers of one service: what requests wait for, models in wide use
 * without replica, further replicas, copies on disks.
 *
 * <p>A model is loaded where it will be ready first ({@link ReadyTimeEstimator}); what goes for it is what
 * is missed least ({@link ReplicaPolicy}).
 */
final class PlanningRound {
    private static final Duration EXPECTATION_INTERVAL = Duration.ofMillis(300);

    /** An adapter used since this time is not dropped for another one. */
    private static final Duration ADAPTER_IN_USE = Duration.ofMillis(500);

    /** After a new server, copies that others may list soon are not made for this long. */
    private static final Duration NEW_SERVER_DELAY = Duration.ofMillis(1500);

    /** Ranks servers with busy models behind all others for copies. */
    private static final int BUSY_SERVER_RANK = 1000;

    /** Cost of a second replica in one failure domain, milliseconds of loading time. */
    private static final int SAME_DOMAIN_COST = 1500;

    /** Cost of a replica that needs another model dropped, milliseconds of loading time. */
    private static final int UNLOAD_COST = 500;

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
     * Prepares a round.
     *
     * @param service the service
     * @param catalog its models
     * @param context what lasts from round to round
     * @param commands receives what instances should be told
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
        this.readyTimes = new ReadyTimeEstimator(view, policy, now);
    }

    void run() {
        List<DemandTracker.WaitingModel> waitingModels = demand.waitingModels(service, now);
        waitingModels.forEach(want -> policy.markWaitedFor(want.key().model()));
        continueReservedLoads();
        Set<String> plannedModels = new HashSet<>();
        for (DemandTracker.WaitingModel want : waitingModels) {
            serveWaiting(want, plannedModels);
        }
        List<String> recent = demand.recentModels(service, now);
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

    /** Goes on where room was being made for a model. */
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

    /** Begins to load a model where it will be ready first, unless it is under way. */
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

    private boolean storeAllows() {
        return storeLimit.allows(catalog.loadsPerSecond(), orders.remoteLoads(), now);
    }

    private boolean loadOrMakeRoom(PlannedServer server, String model, String reason) {
        if (server.tier(model) == CopyTier.REMOTE && !storeAllows()) {
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
        if (catalog.model(model).isEmpty() || replicas >= policy.desiredReplicas(model)) {
            return;
        }
        boolean allowRemote = replicas <= 1;
        chooseReplicaServer(model, allowRemote).ifPresent(server -> loadOrMakeRoom(server, model, "busy"));
    }

    /**
     * Loads models with adapters, which operators declare for models in wide use, before anybody
     * asks for them; only from local copies and only while no demand is known.
     */
    private void prewarm() {
        if (context.firstDemand.containsKey(service)) {
            return;
        }
        for (ModelSpecification model : catalog.models().values()) {
            if (model.adapters() > 0 && view.plannedReplicas(model.name()) == 0) {
                chooseReplicaServer(model.name(), false)
                        .ifPresent(server -> loadOrMakeRoom(server, model.name(), "prewarmed"));
            }
        }
    }

    private Optional<PlannedServer> chooseReplicaServer(String model, boolean allowRemote) {
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
            if (!hasRoom && policy.victim(server, model).isEmpty()) {
                continue;
            }
            double cost = readyTimes.loadTime(server, model).toMillis();
            cost += domains.contains(server.listing().failureDomain()) ? SAME_DOMAIN_COST : 0;
            cost += hasRoom ? 0 : UNLOAD_COST;
            if (cost < lowest) {
                lowest = cost;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Loads models that no server has a copy of, while the weight store has nothing else. */
    private void prefetch() {
        boolean noDemandYet = !context.firstDemand.containsKey(service);
        int servers = view.servers().size();
        int maxLoads = noDemandYet ? servers : Math.max(1, servers / 3);
        if (orders.remoteLoads() >= Math.min(storeLimit.maxParallelLoads(), maxLoads)
                || !storeAllows()
                || now.isBefore(orders.lastServerAddedAt().plus(NEW_SERVER_DELAY))) {
            return;
        }
        Set<String> present = presentModels();
        for (String model : catalog.models().keySet()) {
            if (!present.contains(model)) {
                prefetch(model);
                return;
            }
        }
    }

    /** Returns the models that some server holds, gets, or has a copy of. */
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

    private void prefetch(String model) {
        PlannedServer best = null;
        int lowestRank = Integer.MAX_VALUE;
        for (PlannedServer server : view.servers()) {
            if (!server.canTakeOrder()
                    || server.reservedFor != null
                    || !view.hasRoom(server, model) && policy.victim(server, model).isEmpty()) {
                continue;
            }
            int rank = prefetchRank(server);
            if (rank < lowestRank) {
                lowestRank = rank;
                best = server;
            }
        }
        if (best != null) {
            loadOrMakeRoom(best, model, "not_copied_yet");
        }
    }

    private int prefetchRank(PlannedServer server) {
        int models = server.listing().onDisk().size() + server.models().size();
        return readyTimes.holdsBusyModel(server) ? models + BUSY_SERVER_RANK : models;
    }

    private void loadAdapterIfNeeded(ModelKey key, List<PlannedServer> servers) {
        for (PlannedServer server : servers) {
            if (server.holds(key) || server.isLoadingAdapter(key)) {
                return;
            }
        }
        PlannedServer best = null;
        for (PlannedServer server : servers) {
            if (server.canTakeOrder()
                    && (best == null || server.adapters().size() < best.adapters().size())) {
                best = server;
            }
        }
        if (best != null) {
            loadAdapter(best, key);
        }
    }

    private void loadAdapter(PlannedServer server, ModelKey key) {
        double size = catalog.model(key.model()).orElseThrow().adapterMegabytes();
        boolean full = server.adapters().size() >= catalog.adapterSlots();
        if (!full && size <= view.freeMegabytes(server)) {
            orders.giveOrder(server, OrderAction.LOAD, key, "adapter_waited_for", now);
            view.refresh(server);
            return;
        }
        Optional<ModelKey> unused = server.leastRecentlyUsedAdapter(now.minus(ADAPTER_IN_USE));
        if (unused.isPresent()) {
            orders.giveOrder(server, OrderAction.UNLOAD, unused.get(), "makes_room_for_" + key, now);
            view.refresh(server);
        }
    }
}
