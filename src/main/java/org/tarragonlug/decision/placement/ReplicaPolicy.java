package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ServiceName;

/**
 * Computes how many replicas of each model the demand requires, and which may be unloaded.
 *
 * <p>The demand is compared with what the servers of a model carry: their slots, divided by how
 * long work takes there. A model on slow servers therefore gets more replicas. Requests for a busy
 * model that has a replica on a server that is not slow can avoid the slow ones, so such a model
 * gets one such replica and keeps it.
 */
final class ReplicaPolicy {
    /** The last replica of a model is not unloaded within this time after its last request. */
    static final Duration MODEL_IN_USE = Duration.ofMillis(450);

    /** Requests per second from which on a model is kept loaded even if no request waits for it. */
    static final double WARM_RATE = 0.7;

    /**
     * Minimum time that a model stays loaded. The time lets the requests that waited for the model
     * start; the server itself completes started requests before it unloads the model.
     */
    private static final Duration MIN_LOADED_TIME = Duration.ofMillis(350);

    /** Requests per second from which on a model gets a second replica. */
    private static final double SECOND_REPLICA_RATE = 2;

    /** Requests per second from which on a model gets a third replica. */
    private static final double THIRD_REPLICA_RATE = 12;

    /**
     * How long after the first demand for a service a model with several replicas is assumed to be
     * busy, because its rate is not known yet.
     */
    private static final Duration INITIAL_DEMAND_PERIOD = Duration.ofSeconds(4);

    /** Typical time in seconds for which a generation occupies a slot. */
    private static final double SLOT_SECONDS = 0.6;

    private static final double TARGET_SLOT_USE = 0.4;

    /** Share of slots in use from which on requests for a model wait noticeably. */
    private static final double SATURATED_SLOT_USE = 0.55;

    /** Value that a model loses per idle second; decides between models without demand. */
    private static final double VALUE_PER_IDLE_SECOND = 1e-6;

    private static final long MAX_IDLE_SECONDS = 1000;

    /**
     * Additional value of a model with adapters over a model without adapters at the same request
     * rate.
     */
    private static final double VALUE_OF_ADAPTERS = 1e-3;

    private final PlacementView view;
    private final DemandTracker demand;
    private final Optional<Instant> firstDemand;
    private final ServiceName service;
    private final Instant now;
    private final Set<String> waitedFor = new HashSet<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, Integer> desiredReplicas = new HashMap<>();
    private final Map<String, Instant> lastRequested = new HashMap<>();
    private final Map<PlannedServer, Optional<String>> victims = new IdentityHashMap<>();

    /** The victims for models that requests wait for; these may replace more models. */
    private final Map<PlannedServer, Optional<String>> victimsForWaiting = new IdentityHashMap<>();

    /** Number of changed models for which the victims have been discarded. */
    private int discardedChanges;

    ReplicaPolicy(PlacementView view, PlanContext context, ServiceName service, Instant now) {
        this.view = view;
        this.demand = context.demand;
        this.firstDemand = Optional.ofNullable(context.firstDemand.get(service));
        this.service = service;
        this.now = now;
    }

    /** Marks a model that requests wait for; its last replica is not unloaded in this round. */
    void markWaitedFor(String model) {
        waitedFor.add(model);
    }

    double rate(String model) {
        return rates.computeIfAbsent(model, each -> demand.modelRate(service, each, now));
    }

    private Instant lastRequested(String model) {
        return lastRequested.computeIfAbsent(model, each -> demand.lastRequested(service, each));
    }

    /** Returns how many replicas of a model the demand requires. */
    int desiredReplicas(String model) {
        Integer replicas = desiredReplicas.get(model);
        if (replicas == null) {
            replicas = computeDesiredReplicas(model);
            desiredReplicas.put(model, replicas);
        }
        return replicas;
    }

    private int computeDesiredReplicas(String model) {
        double rate = rate(model);
        int assumed = assumedReplicas(model);
        if (rate < SECOND_REPLICA_RATE) {
            return Math.max(assumed, rate >= WARM_RATE ? 1 : 0);
        }
        int servers = view.servers().size();
        int replicas = Math.max(assumed, rate < THIRD_REPLICA_RATE ? 2 : 3);
        double slotsInUse = rate * SLOT_SECONDS;
        int forLoad = (int) Math.ceil(slotsInUse / (slotsPerReplica(model) * TARGET_SLOT_USE));
        return Math.min(servers, Math.max(replicas, forLoad));
    }

    /** Tells whether a busy model is only on slow servers, so that it needs a replica elsewhere. */
    boolean needsFastReplica(String model) {
        List<PlannedServer> holding = view.serversHolding(model);
        if (holding.isEmpty() || rate(model) < SECOND_REPLICA_RATE) {
            return false;
        }
        for (PlannedServer server : holding) {
            if (!server.isSlow()) {
                return false;
            }
        }
        for (PlannedServer server : view.serversPreparing(model)) {
            if (!server.isSlow()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether the requests for a model fill so many slots of its servers that a further
     * replica is worth a load from the weight store.
     */
    boolean isSaturated(String model) {
        double rate = rate(model);
        if (rate < SECOND_REPLICA_RATE) {
            return false;
        }
        double slots = Math.max(1, view.plannedReplicas(model)) * slotsPerReplica(model);
        return rate * SLOT_SECONDS > slots * SATURATED_SLOT_USE;
    }

    /**
     * Returns the slots of the usual pace that a replica of a model provides on average: that of
     * the servers with the model, or of all servers if there are none.
     */
    private double slotsPerReplica(String model) {
        List<PlannedServer> holding = view.serversHolding(model);
        List<PlannedServer> counted = holding.isEmpty() ? view.servers() : holding;
        double slots = 0;
        for (PlannedServer server : counted) {
            slots += server.carriedSlots();
        }
        return counted.isEmpty() ? 1 : slots / counted.size();
    }

    /** Returns how many replicas of a model to keep while its demand is not known yet. */
    private int assumedReplicas(String model) {
        if (firstDemand.isPresent() && now.isAfter(firstDemand.get().plus(INITIAL_DEMAND_PERIOD))) {
            return 0;
        }
        int replicas = view.serversHolding(model).size();
        return replicas >= 2 ? Math.min(replicas, 3) : 0;
    }

    /** Returns the model with the lowest value that a server may unload; empty if there is none. */
    Optional<String> victim(PlannedServer server, String newModel) {
        if (server.models().containsKey(newModel)) {
            return chooseVictim(server, newModel);
        }
        discardOutdatedVictims();
        Map<PlannedServer, Optional<String>> known =
                waitedFor.contains(newModel) ? victimsForWaiting : victims;
        Optional<String> victim = known.get(server);
        if (victim == null) {
            victim = chooseVictim(server, newModel);
            known.put(server, victim);
        }
        return victim;
    }

    /** Discards the victims of the servers that hold a model whose replicas have changed. */
    private void discardOutdatedVictims() {
        List<String> changed = view.changedModels();
        while (discardedChanges < changed.size()) {
            String model = changed.get(discardedChanges);
            discardedChanges++;
            victims.keySet().removeIf(server -> server.models().containsKey(model));
            victimsForWaiting.keySet().removeIf(server -> server.models().containsKey(model));
        }
    }

    private Optional<String> chooseVictim(PlannedServer server, String newModel) {
        String best = null;
        double lowest = Double.MAX_VALUE;
        for (String model : server.models().keySet()) {
            if (model.equals(newModel) || !mayUnload(server, model, newModel)) {
                continue;
            }
            double value = retentionValue(model);
            if (value < lowest) {
                lowest = value;
                best = model;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether a busy model would be left on slow servers only. */
    private boolean isOnlyFastReplica(PlannedServer server, String model) {
        if (server.isSlow() || rate(model) < SECOND_REPLICA_RATE) {
            return false;
        }
        for (PlannedServer other : view.serversHolding(model)) {
            if (other != server && !other.isSlow()) {
                return false;
            }
        }
        return true;
    }

    private double retentionValue(String model) {
        double value = rate(model) / view.plannedReplicas(model);
        long idle = Duration.between(lastRequested(model), now).toSeconds();
        value -= Math.min(idle, MAX_IDLE_SECONDS) * VALUE_PER_IDLE_SECOND;
        return view.hasAdapters(model) ? value + VALUE_OF_ADAPTERS : value;
    }

    /**
     * Tells whether a server may unload a model to make room for another one. A model that was just
     * loaded stays loaded for a while, so that the requests that waited for the model can reach it.
     */
    private boolean mayUnload(PlannedServer server, String model, String newModel) {
        if (now.isBefore(server.loadedAt(model).plus(MIN_LOADED_TIME))) {
            return false;
        }
        int replicas = view.serversHolding(model).size();
        if (replicas > Math.max(1, desiredReplicas(model))) {
            return !isOnlyFastReplica(server, model);
        }
        return !isKept(model, newModel)
                && !waitedFor.contains(model)
                && now.isAfter(lastRequested(model).plus(MODEL_IN_USE));
    }

    /**
     * Tells whether the last replicas of a model stay loaded although another model needs room. If
     * more models are in demand than fit into memory, keeping all that are asked for now and then
     * would lock the others out; they take turns with the models that requests wait for.
     */
    private boolean isKept(String model, String newModel) {
        return waitedFor.contains(newModel)
                ? rate(model) >= SECOND_REPLICA_RATE
                : desiredReplicas(model) > 0;
    }
}
