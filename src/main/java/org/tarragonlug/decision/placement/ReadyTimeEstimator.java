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

    private final Map<PlannedServer, ServerOutlook> outlooks = new IdentityHashMap<>();
    private int computedAt;
    private String lastModel = "";
    private double lastMegabytes;

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
        outlooks.remove(server);
    }

    Duration loadTime(PlannedServer server, String model) {
        return loadTimeAmongOthers(server.tier(model), model);
    }

    private Duration loadTimeAmongOthers(CopyTier tier, String model) {
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
            outlooks.clear();
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
        discardOutdated();
        ServerOutlook outlook = outlooks.get(server);
        if (outlook == null) {
            outlook = new ServerOutlook(server);
            outlooks.put(server, outlook);
        }
        CopyTier tier = server.tier(model);
        Instant ready = outlook.start.plus(loadTimeAmongOthers(tier, model));
        if (tier == CopyTier.REMOTE && holdsBusyModel(server)) {
            ready = ready.plus(BLOCKED_ADAPTERS_COST);
        }
        double megabytes = megabytes(model);
        if (megabytes <= outlook.freeMegabytes) {
            return Optional.of(ready);
        }
        if (policy.victim(server, model).isPresent()) {
            return Optional.of(ready.plus(OrderManager.UNLOAD_TIME));
        }
        return megabytes <= outlook.laterMegabytes()
                ? Optional.of(ready.plus(OrderManager.UNLOAD_TIME).plus(ReplicaPolicy.MODEL_IN_USE))
                : Optional.empty();
    }

    /** Remembers the size of the model that was asked about last, for one server after another. */
    private double megabytes(String model) {
        if (!model.equals(lastModel)) {
            lastModel = model;
            lastMegabytes = view.weightsMegabytes(model);
        }
        return lastMegabytes;
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

    /**
     * What the estimates for one server have in common, whichever model is to be loaded. Valid
     * until the next change of the view and until a load is planned for the server.
     */
    private final class ServerOutlook {
        private final PlannedServer server;
        private final Instant start;
        private final double freeMegabytes;
        private Double laterMegabytes;

        ServerOutlook(PlannedServer server) {
            this.server = server;
            this.freeMegabytes = view.freeMegabytes(server);
            Instant earliest = earliestStart(server);
            boolean unloading = server.order == null || server.order.action() == OrderAction.UNLOAD;
            this.start =
                    server.reservedFor != null && unloading
                            ? earliest.plus(loadTime(server, server.reservedFor))
                            : earliest;
        }

        /** Returns the room once models without demand are unloaded, when their use has ended. */
        double laterMegabytes() {
            if (laterMegabytes == null) {
                double room = freeMegabytes;
                for (String held : server.models().keySet()) {
                    if (policy.desiredReplicas(held) == 0) {
                        room += view.weightsMegabytes(held);
                    }
                }
                laterMegabytes = room;
            }
            return laterMegabytes;
        }
    }
}
