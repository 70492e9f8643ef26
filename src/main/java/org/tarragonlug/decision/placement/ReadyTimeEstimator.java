package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates when a server can have a model ready.
 *
 * <p>For a server that is carrying out an order or whose models are in use, the estimate includes
 * the time until the server can start. Waiting for such a server can be faster than a load from the
 * weight store, which takes many times as long as a load from a local copy. The planner thus starts
 * a load from the weight store only if no local copy can be ready earlier.
 */
final class ReadyTimeEstimator {
    /** Assumed delay before a server that cannot receive orders at present can receive them. */
    private static final Duration NO_ORDERS_WAIT = Duration.ofSeconds(4);

    /** Assumed delay until a model is ready while the service has no server. */
    private static final Duration NO_SERVER_WAIT = Duration.ofSeconds(5);

    /**
     * Added to the estimate for a load from the weight store on a server that holds a busy model
     * with adapters, because the long order would block the loading of adapters.
     */
    private static final Duration BLOCKED_ADAPTERS_COST = Duration.ofMillis(2500);

    private final PlacementView view;
    private final ReplicaPolicy policy;
    private final PlanContext context;
    private final Instant now;
    private final Map<PlannedServer, Boolean> holdsBusyModel = new IdentityHashMap<>();

    private final Map<String, Duration> remoteLoadTimes = new HashMap<>();

    /** Room that each server has once the models without demand are unloaded, in megabytes. */
    private final Map<PlannedServer, Double> laterRoom = new IdentityHashMap<>();

    private int computedAt;

    /** When a server is expected to complete the loads that this round has planned for it. */
    private final Map<PlannedServer, Instant> plannedLoadEnds = new IdentityHashMap<>();

    ReadyTimeEstimator(PlacementView view, ReplicaPolicy policy, PlanContext context, Instant now) {
        this.view = view;
        this.policy = policy;
        this.context = context;
        this.now = now;
    }

    /** Records when a load planned for a server ends; estimates for further loads start there. */
    void planLoad(PlannedServer server, Instant end) {
        plannedLoadEnds.put(server, end);
    }

    Duration loadTime(PlannedServer server, String model) {
        CopyTier tier = server.tier(model);
        if (tier != CopyTier.REMOTE) {
            return loadTime(tier, model);
        }
        discardOutdated();
        Duration time = remoteLoadTimes.get(model);
        if (time == null) {
            time = context.storeLimit.loadTime(loadTime(tier, model), view.remoteLoads() + 1);
            remoteLoadTimes.put(model, time);
        }
        return time;
    }

    private Duration loadTime(CopyTier tier, String model) {
        return view.catalog().model(model).map(tier::loadTime).orElse(OrderManager.UNLOAD_TIME);
    }

    private void discardOutdated() {
        if (computedAt != view.changes()) {
            remoteLoadTimes.clear();
            laterRoom.clear();
            computedAt = view.changes();
        }
    }

    /** Estimates when the first server will have a model ready. */
    Instant earliestReady(String model) {
        for (PlannedServer server : view.serversPreparing(model)) {
            Instant ready =
                    server.isLoading(model)
                            ? server.order.expectedEnd()
                            : earliestStart(server).plus(loadTime(server, model));
            return ready.isAfter(now) ? ready : now.plus(OrderManager.REPORT_REQUEST_DELAY);
        }
        Instant best = Instant.MAX;
        for (PlannedServer server : view.servers()) {
            Instant possible = earliestStart(server).plus(loadTime(server, model));
            best = possible.isBefore(best) ? possible : best;
        }
        return best.equals(Instant.MAX) ? now.plus(NO_SERVER_WAIT) : best;
    }

    private Instant earliestStart(PlannedServer server) {
        Instant start = plannedLoadEnds.getOrDefault(server, now);
        if (server.order != null && server.order.expectedEnd().isAfter(start)) {
            start = server.order.expectedEnd();
        }
        if (!server.orderable) {
            start = start.plus(NO_ORDERS_WAIT);
        }
        return server.needsReport ? start.plus(OrderManager.REPORT_RETRY_DELAY) : start;
    }

    /**
     * Estimates when a server can have a model ready; empty if the server cannot make room for the
     * model.
     */
    Optional<Instant> readyAt(PlannedServer server, String model) {
        Instant ready = earliestStart(server).plus(loadTime(server, model));
        if (server.tier(model) == CopyTier.REMOTE && holdsBusyModel(server)) {
            ready = ready.plus(BLOCKED_ADAPTERS_COST);
        }
        boolean unloading = server.order == null || server.order.action() == OrderAction.UNLOAD;
        if (server.reservedFor != null && unloading) {
            ready = ready.plus(loadTime(server, server.reservedFor));
        }
        if (view.hasRoom(server, model)) {
            return Optional.of(ready);
        }
        if (policy.victim(server, model).isPresent()) {
            return Optional.of(ready.plus(OrderManager.UNLOAD_TIME));
        }
        return canMakeRoomLater(server, model)
                ? Optional.of(ready.plus(OrderManager.UNLOAD_TIME).plus(ReplicaPolicy.MODEL_IN_USE))
                : Optional.empty();
    }

    /**
     * Tells whether a server holds a busy model that has adapters. A load from the weight store
     * would delay the adapters that requests for the busy model need by seconds, because a server
     * carries out one order at a time.
     */
    boolean holdsBusyModel(PlannedServer server) {
        return holdsBusyModel.computeIfAbsent(
                server,
                each ->
                        each.models().keySet().stream()
                                .anyMatch(
                                        model ->
                                                view.hasAdapters(model)
                                                        && policy.desiredReplicas(model) > 0));
    }

    /** Tells whether a server can make room by unloading models once their use has ended. */
    private boolean canMakeRoomLater(PlannedServer server, String model) {
        discardOutdated();
        Double room = laterRoom.get(server);
        if (room == null) {
            room = computeLaterRoom(server);
            laterRoom.put(server, room);
        }
        return room >= view.weightsMegabytes(model);
    }

    private double computeLaterRoom(PlannedServer server) {
        double room = view.freeMegabytes(server);
        for (String held : server.models().keySet()) {
            if (policy.desiredReplicas(held) == 0) {
                room += view.weightsMegabytes(held);
            }
        }
        return room;
    }
}
