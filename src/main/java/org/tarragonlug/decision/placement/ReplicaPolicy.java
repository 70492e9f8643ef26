package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ServiceName;

/** Says how many replicas of each model the demand calls for, and which replicas may go. */
final class ReplicaPolicy {
    /** A model used within this time is not dropped if it is the last replica. */
    static final Duration MODEL_IN_USE = Duration.ofMillis(450);

    /** Requests a second from which on a model is kept loaded though nobody waits. */
    static final double WARM_RATE = 0.7;

    /**
     * How long a model stays at least once it is loaded: until the requests that waited for it have
     * begun. The server itself finishes what has begun before it drops the model.
     */
    private static final Duration MIN_LOADED_TIME = Duration.ofMillis(350);

    /** Requests a second from which on a model gets a second replica, and a third. */
    private static final double SECOND_REPLICA_RATE = 2;

    private static final double THIRD_REPLICA_RATE = 12;

    /** Until this long after the first demand, what the servers held at first counts as busy. */
    private static final Duration INITIAL_DEMAND_PERIOD = Duration.ofSeconds(4);

    /** Typical time that a generation occupies a slot, seconds. */
    private static final double SLOT_SECONDS = 0.6;

    private static final double TARGET_SLOT_USE = 0.4;

    /** Value that a replica loses for each idle second; decides between models nobody asks for. */
    private static final double VALUE_PER_IDLE_SECOND = 1e-6;

    private static final long MAX_IDLE_SECONDS = 1000;

    /** Value of a model with adapters over one without that is asked for as often. */
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

    ReplicaPolicy(PlacementView view, PlanContext context, ServiceName service, Instant now) {
        this.view = view;
        this.demand = context.demand;
        this.firstDemand = Optional.ofNullable(context.firstDemand.get(service));
        this.service = service;
        this.now = now;
    }

    /** Requests wait for a model; it is not dropped in this round. */
    void markWaitedFor(String model) {
        waitedFor.add(model);
    }

    double rate(String model) {
        return rates.computeIfAbsent(model, each -> demand.modelRate(service, each, now));
    }

    private Instant lastRequested(String model) {
        return lastRequested.computeIfAbsent(model, each -> demand.lastRequested(service, each));
    }

    /** Returns how many replicas the demand for a model calls for. */
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
        int slots = servers == 0 ? 1 : Math.max(1, view.servers().get(0).listing().slots());
        int forLoad = (int) Math.ceil(rate * SLOT_SECONDS / (slots * TARGET_SLOT_USE));
        return Math.min(servers, Math.max(replicas, forLoad));
    }

    /** Returns how many replicas to keep of a model whose demand is not known yet. */
    private int assumedReplicas(String model) {
        if (firstDemand.isPresent() && now.isAfter(firstDemand.get().plus(INITIAL_DEMAND_PERIOD))) {
            return 0;
        }
        int replicas = view.serversHolding(model).size();
        return replicas >= 2 ? Math.min(replicas, 3) : 0;
    }

    /** Finds the model on a server that is missed least. */
    Optional<String> victim(PlannedServer server, String newModel) {
        String best = null;
        double lowest = Double.MAX_VALUE;
        for (String model : server.models().keySet()) {
            if (model.equals(newModel) || !mayUnload(server, model)) {
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

    private double retentionValue(String model) {
        double value = rate(model) / view.plannedReplicas(model);
        long idle = Duration.between(lastRequested(model), now).toSeconds();
        value -= Math.min(idle, MAX_IDLE_SECONDS) * VALUE_PER_IDLE_SECOND;
        return view.hasAdapters(model) ? value + VALUE_OF_ADAPTERS : value;
    }

    /**
     * Tells whether a server may drop a model. A model that was just loaded stays for a while, so
     * that the requests that waited for it reach it.
     */
    private boolean mayUnload(PlannedServer server, String model) {
        if (now.isBefore(server.loadedAt(model).plus(MIN_LOADED_TIME))) {
            return false;
        }
        int replicas = view.serversHolding(model).size();
        if (replicas > Math.max(1, desiredReplicas(model))) {
            return true;
        }
        return desiredReplicas(model) == 0
                && !waitedFor.contains(model)
                && now.isAfter(lastRequested(model).plus(MODEL_IN_USE));
    }
}
