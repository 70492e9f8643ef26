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
    private static final Duration SHORTEST_STAY = Duration.ofMillis(350);

    /** Requests a second from which on a model gets a second replica, and a third. */
    private static final double SECOND_REPLICA_RATE = 2;

    private static final double THIRD_REPLICA_RATE = 12;

    /** Until this long after the first demand, what the servers held at first counts as busy. */
    private static final Duration LEARNING_TIME = Duration.ofSeconds(4);

    /** Typical time that a generation occupies a slot, seconds. */
    private static final double SLOT_SECONDS = 0.6;

    private static final double TARGET_SLOT_USE = 0.4;

    /** Value that a replica loses for each idle second; decides between models nobody asks for. */
    private static final double VALUE_PER_IDLE_SECOND = 1e-6;

    private static final long MOST_IDLE_SECONDS = 1000;

    /** Value of a model with adapters over one without that is asked for as often. */
    private static final double VALUE_OF_ADAPTERS = 1e-3;

    private final PlacementView view;
    private final DemandBoard demand;
    private final Optional<Instant> firstDemand;
    private final ServiceName service;
    private final Instant now;
    private final Set<String> wanted = new HashSet<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, Integer> desired = new HashMap<>();
    private final Map<String, Instant> lastUsed = new HashMap<>();

    ReplicaPolicy(PlacementView view, PlanContext context, ServiceName service, Instant now) {
        this.view = view;
        this.demand = context.demand;
        this.firstDemand = Optional.ofNullable(context.firstDemand.get(service));
        this.service = service;
        this.now = now;
    }

    /** Requests wait for a model; it is not dropped in this round. */
    void wanted(String model) {
        wanted.add(model);
    }

    double rate(String model) {
        return rates.computeIfAbsent(model, each -> demand.modelRate(service, each, now));
    }

    private Instant lastUsed(String model) {
        return lastUsed.computeIfAbsent(model, each -> demand.lastUsed(service, each));
    }

    /** Returns how many replicas the demand for a model calls for. */
    int desired(String model) {
        Integer known = desired.get(model);
        if (known == null) {
            known = computeDesired(model);
            desired.put(model, known);
        }
        return known;
    }

    private int computeDesired(String model) {
        double rate = rate(model);
        int assumed = assumedBusy(model);
        if (rate < SECOND_REPLICA_RATE) {
            return Math.max(assumed, rate >= WARM_RATE ? 1 : 0);
        }
        int members = view.members().size();
        int replicas = Math.max(assumed, rate < THIRD_REPLICA_RATE ? 2 : 3);
        int slots = members == 0 ? 1 : Math.max(1, view.members().get(0).listing().slots());
        int forLoad = (int) Math.ceil(rate * SLOT_SECONDS / (slots * TARGET_SLOT_USE));
        return Math.min(members, Math.max(replicas, forLoad));
    }

    /** Returns how many replicas to keep of a model whose demand is not known yet. */
    private int assumedBusy(String model) {
        if (firstDemand.isPresent() && now.isAfter(firstDemand.get().plus(LEARNING_TIME))) {
            return 0;
        }
        int holders = view.holders(model).size();
        return holders >= 2 ? Math.min(holders, 3) : 0;
    }

    /** Finds the model on a server that is missed least. */
    Optional<String> victim(PlannedServer server, String wantedModel) {
        String best = null;
        double lowest = Double.MAX_VALUE;
        for (String model : server.models().keySet()) {
            if (model.equals(wantedModel) || !mayDrop(server, model)) {
                continue;
            }
            double value = value(model);
            if (value < lowest) {
                lowest = value;
                best = model;
            }
        }
        return Optional.ofNullable(best);
    }

    private double value(String model) {
        double value = rate(model) / view.copies(model);
        long idle = Duration.between(lastUsed(model), now).toSeconds();
        value -= Math.min(idle, MOST_IDLE_SECONDS) * VALUE_PER_IDLE_SECOND;
        return view.hasAdapters(model) ? value + VALUE_OF_ADAPTERS : value;
    }

    /**
     * Tells whether a server may drop a model. A model that was just loaded stays for a while, so
     * that the requests that waited for it reach it.
     */
    private boolean mayDrop(PlannedServer server, String model) {
        if (now.isBefore(server.loadedAt(model).plus(SHORTEST_STAY))) {
            return false;
        }
        int replicas = view.holders(model).size();
        if (replicas > Math.max(1, desired(model))) {
            return true;
        }
        return desired(model) == 0
                && !wanted.contains(model)
                && now.isAfter(lastUsed(model).plus(MODEL_IN_USE));
    }
}
