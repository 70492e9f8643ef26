package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Decides which servers hold which models, and gives the orders for it.
 *
 * <p>One planner is active at a time, but nothing breaks if two are for a moment: orders are sent
 * by the holders of the servers' leases, and each order names the number of orders that the server
 * must have accepted before, so of two planners that contradict each other one is refused.
 * Knowledge is rebuilt from listings and reports, so nothing has to be handed over. An order
 * without an answer is given again with the same number: whether the first, the second or a late
 * copy is carried out, it is carried out once, and after the next order no copy can be any more.
 * Before a planner gives its first order to a server it asks for the server's state.
 *
 * <p>On each tick the planner serves, in this order, requests that wait for a model or adapter,
 * models that were asked for and have no replica, further replicas of busy models, and copies on
 * the disks of models that are nowhere yet. A model is loaded where it will be ready first: a copy
 * in memory or on disk takes a fraction of a load from the weight store, so loading a model once
 * makes each later load of it cheap, also after it had to make room.
 *
 * <p>Limits: demand is known with the delay of the instances' reports, and a server does one order
 * at a time, so a burst for more rare models than there are servers is served in turns.
 */
public final class PlacementPlanner implements StateMachine<PlacementEvent, PlacementCommand> {
    private static final Duration ADAPTER_TIME = Duration.ofMillis(14);
    private static final Duration UNLOAD_TIME = Duration.ofMillis(150);

    /** How long after the expected end of an order the server is asked. */
    private static final Duration REPORT_AFTER = Duration.ofMillis(600);

    private static final Duration REPORT_PAUSE = Duration.ofMillis(200);
    private static final Duration ORDER_REPEAT = Duration.ofMillis(250);

    /** When an order without an answer to a server that gets none is given up. */
    private static final Duration ABANDON_AFTER = Duration.ofMillis(1200);

    /** Assumed wait for a server that gets no orders at present. */
    private static final Duration NO_ORDERS_WAIT = Duration.ofSeconds(4);

    private static final Duration EXPECTATION_PAUSE = Duration.ofMillis(300);

    /** Expected wait if no server can load a model at present. */
    private static final Duration NO_SERVER_WAIT = Duration.ofSeconds(5);

    /** An adapter used since this time is not dropped for another one. */
    private static final Duration ADAPTER_IN_USE = Duration.ofMillis(500);

    /** A model used within this time is not dropped if it is the last replica. */
    private static final Duration MODEL_IN_USE = Duration.ofMillis(900);

    /** After a new server, copies that others may list soon are not made for this long. */
    private static final Duration FLEET_SETTLING = Duration.ofMillis(1500);

    /** How long a model stays at least once it is loaded. */
    private static final Duration SHORTEST_STAY = Duration.ofMillis(700);

    /** Requests a second from which on a model is kept loaded though nobody waits. */
    private static final double WARM_RATE = 0.7;

    /** Requests a second from which on a model gets a second replica, and a third. */
    private static final double SECOND_REPLICA_RATE = 2;

    private static final double THIRD_REPLICA_RATE = 12;

    /** Until this long after the first demand, what the servers held at first counts as busy. */
    private static final Duration LEARNING_TIME = Duration.ofSeconds(4);

    /** Typical time that a generation occupies a slot, seconds. */
    private static final double SLOT_SECONDS = 0.6;

    private static final double TARGET_SLOT_USE = 0.4;

    private final WeightStoreLimit store;
    private final DemandBoard demand = new DemandBoard();
    private final Map<ServerId, PlannedServer> servers = new LinkedHashMap<>();
    private final Map<ModelKey, Instant> expectationsSent = new HashMap<>();
    private Instant lastNewServer = Instant.EPOCH;
    private final Map<ServiceName, Instant> firstDemand = new HashMap<>();
    private ForwardingTable table;
    private boolean planning;
    private List<PlacementCommand> commands = new ArrayList<>();

    /**
     * Creates a planner that owns nothing.
     *
     * @param loadWindow length of the window in which loads from the weight store are limited
     */
    public PlacementPlanner(Duration loadWindow) {
        this.store = new WeightStoreLimit(loadWindow);
    }

    /** Returns how many orders are in progress. */
    public long ordersInProgress() {
        return servers.values().stream().filter(server -> server.order != null).count();
    }

    @Override
    public List<PlacementCommand> handle(PlacementEvent event, Instant now) {
        commands = new ArrayList<>();
        if (event instanceof PlacementEvent.TableInstalled installed) {
            table = installed.table();
        } else if (event instanceof PlacementEvent.ServerListed listed) {
            listed(listed, now);
        } else if (event instanceof PlacementEvent.ServerGone gone) {
            servers.remove(gone.server());
        } else if (event instanceof PlacementEvent.DemandReported reported) {
            demandReported(reported, now);
        } else if (event instanceof PlacementEvent.OrderAnswered answered) {
            find(answered.server(), answered.startedMillis())
                    .ifPresent(server -> orderAnswered(server, answered.result(), now));
        } else if (event instanceof PlacementEvent.Reported reported) {
            find(reported.server(), reported.startedMillis())
                    .ifPresent(server -> reported(server, reported.report(), now));
        } else if (event instanceof PlacementEvent.ReportFailed failed) {
            find(failed.server(), failed.startedMillis())
                    .ifPresent(server -> server.nextReport = now.plus(REPORT_PAUSE));
        } else if (event instanceof PlacementEvent.PlanningBegun) {
            planningBegun(now);
        } else if (event instanceof PlacementEvent.PlanningEnded) {
            planning = false;
            servers.values().forEach(server -> server.order = null);
        }
        if (event instanceof PlacementEvent.OrderableServers orderable) {
            servers.forEach((id, server) -> server.orderable = orderable.servers().contains(id));
        }
        if (planning && table != null) {
            plan(now);
        }
        return commands;
    }

    private Optional<PlannedServer> find(ServerId id, long startedMillis) {
        return Optional.ofNullable(servers.get(id))
                .filter(server -> server.startedMillis() == startedMillis);
    }

    private void planningBegun(Instant now) {
        planning = true;
        for (PlannedServer server : servers.values()) {
            server.order = null;
            server.reservedFor = null;
            server.orderable = false;
            server.uncertain = true;
            server.nextReport = now;
        }
        engines().values().forEach(catalog -> store.assumeUsed(catalog.loadsPerSecond(), now));
    }

    private void listed(PlacementEvent.ServerListed event, Instant now) {
        PlannedServer server = servers.get(event.listing().id());
        if (server == null) {
            lastNewServer = now;
            servers.put(event.listing().id(), new PlannedServer(event.listing()));
            return;
        }
        server.update(event.listing(), now);
        if (server.order != null) {
            checkDone(server, server.states(server.order.key().model()), now);
        }
    }

    private void demandReported(PlacementEvent.DemandReported event, Instant now) {
        for (ModelDemand each : event.demands()) {
            firstDemand.putIfAbsent(each.service(), now);
            demand.report(event.from(), each, now);
            if (each.key().hasAdapter()) {
                servers.values().forEach(server -> server.adapterUsed(each.key(), now));
            }
        }
    }

    // Orders and their effects.

    private void orderAnswered(PlannedServer server, OrderResult result, Instant now) {
        PlannedOrder order = server.order;
        if (order == null) {
            return;
        }
        switch (result) {
            case ACCEPTED -> {
                server.accepted(now.plus(duration(server, order)));
                if (order.key().hasAdapter() && order.action() == OrderAction.UNLOAD) {
                    server.adapterDropped(order.key(), now);
                    server.order = null;
                }
            }
            case ALREADY_DONE -> alreadyDone(server, order, now);
            case NOT_SENT -> {
                server.order = null;
                server.uncertain = order.sentAt().isAfter(order.decidedAt());
            }
            case UNKNOWN -> {
                // Given again on a later tick.
            }
            default -> {
                server.order = null;
                server.uncertain = true;
                server.nextReport = now.plus(REPORT_PAUSE);
            }
        }
    }

    private void alreadyDone(PlannedServer server, PlannedOrder order, Instant now) {
        server.order = null;
        if (!order.key().hasAdapter()) {
            server.uncertain = true;
            server.nextReport = now.plus(REPORT_PAUSE);
        } else if (order.action() == OrderAction.UNLOAD) {
            server.order = order;
            server.accepted(now);
            server.order = null;
            server.adapterDropped(order.key(), now);
        } else {
            server.adapterLoaded(order.key(), now);
            announce(server, order.key(), true);
        }
    }

    private Duration duration(PlannedServer server, PlannedOrder order) {
        if (order.action() == OrderAction.UNLOAD) {
            return UNLOAD_TIME;
        }
        if (order.key().hasAdapter()) {
            return ADAPTER_TIME;
        }
        return specification(server, order.key().model())
                .map(order.tier()::loadTime)
                .orElse(UNLOAD_TIME);
    }

    private void reported(PlannedServer server, ServerReport report, Instant now) {
        if (report.busy() || !server.adopt(report, now)) {
            server.nextReport = now.plus(REPORT_PAUSE);
            return;
        }
        server.uncertain = false;
        PlannedOrder order = server.order;
        if (order != null && order.accepted() && !order.key().hasAdapter()) {
            boolean overdue = now.isAfter(order.expectedEnd().plus(REPORT_AFTER));
            checkDone(server, report.models().containsKey(order.key().model()), now);
            if (server.order != null && overdue) {
                // The server is idle and the effect is not there: the order was in vain.
                server.order = null;
            }
        }
    }

    /**
     * Ends an accepted order whose effect a server shows.
     *
     * @param present whether the server shows the order's model
     */
    private void checkDone(PlannedServer server, boolean present, Instant now) {
        PlannedOrder order = server.order;
        if (!order.accepted() || order.key().hasAdapter()) {
            return;
        }
        if (present != (order.action() == OrderAction.LOAD)) {
            return;
        }
        if (order.usesWeightStore()) {
            Duration stated = duration(server, order);
            store.ended(stated, Duration.between(order.sentAt(), now), remoteLoads());
        }
        server.order = null;
        if (order.action() == OrderAction.LOAD) {
            server.reservedFor = null;
            server.modelLoaded(order.key().model(), now);
            announce(server, order.key(), true);
        } else {
            server.modelDropped(order.key().model());
        }
    }

    private int remoteLoads() {
        int count = 0;
        for (PlannedServer server : servers.values()) {
            if (server.order != null && server.order.usesWeightStore()) {
                count++;
            }
        }
        return count;
    }

    private void followOrders(Instant now) {
        Set<ServiceName> engines = engines().keySet();
        for (PlannedServer server : servers.values()) {
            if (!engines.contains(server.listing().service())) {
                continue;
            }
            PlannedOrder order = server.order;
            if (order != null && !order.accepted()) {
                if (!server.orderable && now.isAfter(order.decidedAt().plus(ABANDON_AFTER))) {
                    // It may be carried out still; the next report tells before the next order.
                    server.order = null;
                    server.uncertain = true;
                } else if (now.isAfter(order.sentAt().plus(ORDER_REPEAT))) {
                    repeat(server, order, now);
                }
            } else if (order != null && order.key().hasAdapter()) {
                if (!now.isBefore(order.expectedEnd())) {
                    server.order = null;
                    server.adapterLoaded(order.key(), now);
                    announce(server, order.key(), true);
                }
            } else if (order != null && now.isAfter(order.expectedEnd().plus(REPORT_AFTER))) {
                askReport(server, now);
            } else if (server.uncertain) {
                askReport(server, now);
            }
        }
    }

    private void repeat(PlannedServer server, PlannedOrder order, Instant now) {
        server.order =
                new PlannedOrder(
                        order.action(),
                        order.key(),
                        order.tier(),
                        order.precondition(),
                        order.decidedAt(),
                        now,
                        order.expectedEnd(),
                        false);
        give(server, server.order, "no_answer");
    }

    private void askReport(PlannedServer server, Instant now) {
        if (now.isBefore(server.nextReport)) {
            return;
        }
        server.nextReport = now.plus(REPORT_AFTER);
        commands.add(
                new PlacementCommand.AskReport(
                        server.id(), server.startedMillis(), server.listing().address()));
    }

    private void order(
            PlannedServer server, OrderAction action, ModelKey key, String reason, Instant now) {
        CopyTier tier = action == OrderAction.LOAD ? server.tier(key.model()) : CopyTier.MEMORY;
        PlannedOrder order =
                new PlannedOrder(action, key, tier, server.orderCount(), now, now, now, false);
        order =
                new PlannedOrder(
                        action,
                        key,
                        tier,
                        server.orderCount(),
                        now,
                        now,
                        now.plus(duration(server, order)),
                        false);
        server.order = order;
        if (order.usesWeightStore()) {
            store.begin(now);
        }
        if (key.hasAdapter() && action == OrderAction.LOAD) {
            server.adapterOrdered(key, now);
        }
        give(server, order, reason);
    }

    private void announce(PlannedServer server, ModelKey key, boolean held) {
        commands.add(new PlacementCommand.AnnounceReplica(server.id(), key, held));
    }

    private void give(PlannedServer server, PlannedOrder order, String reason) {
        if (order.action() == OrderAction.UNLOAD) {
            // Before the order, so that requests no longer go there.
            announce(server, order.key(), false);
        }
        commands.add(
                new PlacementCommand.GiveOrder(
                        server.id(),
                        server.startedMillis(),
                        server.listing().address(),
                        order,
                        reason));
    }

    // Planning.

    private Map<ServiceName, ModelCatalog> engines() {
        Map<ServiceName, ModelCatalog> engines = new LinkedHashMap<>();
        if (table != null) {
            for (ForwardingService service : table.services().values()) {
                service.catalog().ifPresent(catalog -> engines.put(service.name(), catalog));
            }
        }
        return engines;
    }

    private Optional<ModelSpecification> specification(PlannedServer server, String model) {
        return Optional.ofNullable(table)
                .map(known -> known.services().get(server.listing().service()))
                .flatMap(ForwardingService::catalog)
                .flatMap(catalog -> catalog.model(model));
    }

    private void plan(Instant now) {
        followOrders(now);
        engines().forEach((service, catalog) -> new ServicePlan(service, catalog, now).run());
    }

    /** One round of planning for one service. */
    private final class ServicePlan {
        private final ServiceName service;
        private final ModelCatalog catalog;
        private final Instant now;
        private final List<PlannedServer> members = new ArrayList<>();

        private final Set<String> wanted = new HashSet<>();

        /** When a server will have done what this round has intended for it. */
        private final Map<PlannedServer, Instant> intended = new HashMap<>();

        ServicePlan(ServiceName service, ModelCatalog catalog, Instant now) {
            this.service = service;
            this.catalog = catalog;
            this.now = now;
            for (PlannedServer server : servers.values()) {
                if (server.listing().service().equals(service) && server.ready()) {
                    members.add(server);
                }
            }
        }

        void run() {
            List<DemandBoard.Want> wants = demand.wants(service, now);
            wants.forEach(want -> wanted.add(want.key().model()));
            continueReserved();
            Set<String> handled = new HashSet<>();
            for (DemandBoard.Want want : wants) {
                serve(want, handled);
            }
            for (String model : demand.recentModels(service, now)) {
                if (demand.modelRate(service, model, now) >= WARM_RATE
                        && handled.add(model)
                        && holders(model).isEmpty()) {
                    ensureModel(model, "asked_for");
                }
            }
            replicate();
            prewarm();
            prefetch();
        }

        private List<PlannedServer> holders(String model) {
            return members.stream().filter(server -> server.holds(model)).toList();
        }

        private boolean underWay(String model) {
            return members.stream()
                    .anyMatch(server -> server.loading(model) || model.equals(server.reservedFor));
        }

        private int copies(String model) {
            int count = 0;
            for (PlannedServer server : members) {
                if (server.holds(model)
                        || server.loading(model)
                        || model.equals(server.reservedFor)) {
                    count++;
                }
            }
            return count;
        }

        /** Goes on where room was being made for a model. */
        private void continueReserved() {
            for (PlannedServer server : members) {
                if (server.reservedFor == null || !server.free()) {
                    continue;
                }
                String model = server.reservedFor;
                if (server.holds(model) || catalog.model(model).isEmpty()) {
                    server.reservedFor = null;
                } else {
                    loadOrMakeRoom(server, model, "room_made");
                }
            }
        }

        private void serve(DemandBoard.Want want, Set<String> handled) {
            ModelKey key = want.key();
            if (catalog.model(key.model()).isEmpty()) {
                return;
            }
            List<PlannedServer> holders = holders(key.model());
            if (holders.isEmpty()) {
                if (handled.add(key.model())) {
                    ensureModel(key.model(), "waited_for");
                }
                expect(want);
            } else if (key.hasAdapter()) {
                ensureAdapter(key, holders);
            }
        }

        private void expect(DemandBoard.Want want) {
            Instant sent = expectationsSent.getOrDefault(want.key(), Instant.EPOCH);
            if (now.isBefore(sent.plus(EXPECTATION_PAUSE))) {
                return;
            }
            expectationsSent.put(want.key(), now);
            commands.add(
                    new PlacementCommand.AnnounceExpectation(
                            service, want.key(), readyAt(want.key().model())));
        }

        private Instant readyAt(String model) {
            Instant best = now.plus(NO_SERVER_WAIT);
            for (PlannedServer server : members) {
                Instant ready = null;
                if (server.loading(model)) {
                    ready = server.order.expectedEnd();
                } else if (model.equals(server.reservedFor)) {
                    ready = startAt(server).plus(loadTime(server, model));
                }
                if (ready != null) {
                    return ready.isAfter(now) ? ready : now.plus(REPORT_AFTER);
                }
                Instant possible = startAt(server).plus(loadTime(server, model));
                best = possible.isBefore(best) ? possible : best;
            }
            return best;
        }

        private Instant startAt(PlannedServer server) {
            Instant start = intended.getOrDefault(server, now);
            if (server.order != null && server.order.expectedEnd().isAfter(start)) {
                start = server.order.expectedEnd();
            }
            if (!server.orderable) {
                start = start.plus(NO_ORDERS_WAIT);
            }
            return server.uncertain ? start.plus(REPORT_PAUSE) : start;
        }

        private Duration loadTime(PlannedServer server, String model) {
            return catalog.model(model).map(server.tier(model)::loadTime).orElse(UNLOAD_TIME);
        }

        /** Begins to load a model where it will be ready first, unless it is under way. */
        private void ensureModel(String model, String reason) {
            if (underWay(model)) {
                return;
            }
            PlannedServer best = null;
            Instant earliest = null;
            for (PlannedServer server : members) {
                Optional<Instant> ready = readyAt(server, model);
                if (ready.isPresent() && (earliest == null || ready.get().isBefore(earliest))) {
                    earliest = ready.get();
                    best = server;
                }
            }
            if (best == null) {
                return;
            }
            intended.put(best, earliest);
            if (best.free() && best.reservedFor == null) {
                loadOrMakeRoom(best, model, reason);
            }
        }

        /** Estimates when a server can have a model ready; empty if it never has room. */
        private Optional<Instant> readyAt(PlannedServer server, String model) {
            Instant ready = startAt(server).plus(loadTime(server, model));
            boolean unloading = server.order == null || server.order.action() == OrderAction.UNLOAD;
            if (server.reservedFor != null && unloading) {
                ready = ready.plus(loadTime(server, server.reservedFor));
            }
            if (hasRoom(server, model)) {
                return Optional.of(ready);
            }
            if (victim(server, model).isPresent()) {
                return Optional.of(ready.plus(UNLOAD_TIME));
            }
            return roomLater(server, model)
                    ? Optional.of(ready.plus(UNLOAD_TIME).plus(MODEL_IN_USE))
                    : Optional.empty();
        }

        /** Tells whether a server can make room once its idle models are not in use any more. */
        private boolean roomLater(PlannedServer server, String model) {
            double room = catalog.weightsMegabytes() - server.usedMegabytes(catalog);
            for (String held : server.models().keySet()) {
                if (desired(held) == 0) {
                    room +=
                            catalog.model(held)
                                    .map(ModelSpecification::weightsMegabytes)
                                    .orElse(0.0);
                }
            }
            return room >= catalog.model(model).orElseThrow().weightsMegabytes();
        }

        private boolean hasRoom(PlannedServer server, String model) {
            double needed = catalog.model(model).orElseThrow().weightsMegabytes();
            return server.usedMegabytes(catalog) + needed <= catalog.weightsMegabytes();
        }

        private boolean loadOrMakeRoom(PlannedServer server, String model, String reason) {
            boolean remote = server.tier(model) == CopyTier.REMOTE;
            if (remote && !store.allows(catalog.loadsPerSecond(), remoteLoads(), now)) {
                return false;
            }
            if (hasRoom(server, model)) {
                order(server, OrderAction.LOAD, new ModelKey(model, ""), reason, now);
                server.reservedFor = model;
                return true;
            }
            Optional<String> victim = victim(server, model);
            if (victim.isEmpty()) {
                server.reservedFor = null;
                return false;
            }
            server.reservedFor = model;
            order(
                    server,
                    OrderAction.UNLOAD,
                    new ModelKey(victim.get(), ""),
                    "makes_room_for_" + model,
                    now);
            return true;
        }

        /** Finds the model on a server that is missed least. */
        private Optional<String> victim(PlannedServer server, String wanted) {
            String best = null;
            double lowest = Double.MAX_VALUE;
            for (String model : server.models().keySet()) {
                if (model.equals(wanted) || !mayDrop(server, model)) {
                    continue;
                }
                double value = demand.modelRate(service, model, now) / copies(model);
                long idle = Duration.between(demand.lastUsed(service, model), now).toSeconds();
                value -= Math.min(idle, 1000) * 1e-6;
                boolean adapted =
                        catalog.model(model).filter(each -> each.adapters() > 0).isPresent();
                value += adapted ? 1e-3 : 0;
                if (value < lowest) {
                    lowest = value;
                    best = model;
                }
            }
            return Optional.ofNullable(best);
        }

        /**
         * Tells whether a server may drop a model. A model that was just loaded stays for a while,
         * so that the requests that waited for it reach it.
         */
        private boolean mayDrop(PlannedServer server, String model) {
            if (now.isBefore(server.loadedAt(model).plus(SHORTEST_STAY))) {
                return false;
            }
            int replicas = holders(model).size();
            if (replicas > Math.max(1, desired(model))) {
                return true;
            }
            Instant used = demand.lastUsed(service, model);
            return desired(model) == 0
                    && !wanted.contains(model)
                    && now.isAfter(used.plus(MODEL_IN_USE));
        }

        /** Returns how many replicas the demand for a model calls for. */
        private int desired(String model) {
            double rate = demand.modelRate(service, model, now);
            int assumed = assumedBusy(model);
            if (rate < SECOND_REPLICA_RATE) {
                return Math.max(assumed, rate >= WARM_RATE ? 1 : 0);
            }
            int replicas = Math.max(assumed, rate < THIRD_REPLICA_RATE ? 2 : 3);
            int slots = members.isEmpty() ? 1 : Math.max(1, members.get(0).listing().slots());
            int forLoad = (int) Math.ceil(rate * SLOT_SECONDS / (slots * TARGET_SLOT_USE));
            return Math.min(members.size(), Math.max(replicas, forLoad));
        }

        /** Returns how many replicas to keep of a model whose demand is not known yet. */
        private int assumedBusy(String model) {
            Instant since = firstDemand.getOrDefault(service, Instant.MAX);
            if (!since.equals(Instant.MAX) && now.isAfter(since.plus(LEARNING_TIME))) {
                return 0;
            }
            int holders = holders(model).size();
            return holders >= 2 ? Math.min(holders, 3) : 0;
        }

        private void replicate() {
            for (String model : demand.recentModels(service, now)) {
                int copies = copies(model);
                if (catalog.model(model).isEmpty() || copies >= desired(model)) {
                    continue;
                }
                boolean remoteToo = copies <= 1;
                replicaServer(model, remoteToo)
                        .ifPresent(server -> loadOrMakeRoom(server, model, "busy"));
            }
        }

        /**
         * Loads models with adapters, which operators declare for models in wide use, before
         * anybody asks for them; only from local copies and only while no demand is known.
         */
        private void prewarm() {
            if (firstDemand.containsKey(service)) {
                return;
            }
            for (ModelSpecification model : catalog.models().values()) {
                if (model.adapters() > 0 && copies(model.name()) == 0) {
                    replicaServer(model.name(), false)
                            .ifPresent(server -> loadOrMakeRoom(server, model.name(), "prewarmed"));
                }
            }
        }

        private Optional<PlannedServer> replicaServer(String model, boolean remoteToo) {
            Set<FailureDomain> domains = new HashSet<>();
            holders(model).forEach(server -> domains.add(server.listing().failureDomain()));
            PlannedServer best = null;
            double lowest = Double.MAX_VALUE;
            for (PlannedServer server : members) {
                if (!server.free()
                        || server.reservedFor != null
                        || server.holds(model)
                        || !remoteToo && server.tier(model) == CopyTier.REMOTE
                        || !hasRoom(server, model) && victim(server, model).isEmpty()) {
                    continue;
                }
                double cost = loadTime(server, model).toMillis();
                cost += domains.contains(server.listing().failureDomain()) ? 1500 : 0;
                cost += hasRoom(server, model) ? 0 : 500;
                if (cost < lowest) {
                    lowest = cost;
                    best = server;
                }
            }
            return Optional.ofNullable(best);
        }

        /** Loads models that no server has a copy of, while the weight store has nothing else. */
        private void prefetch() {
            boolean quiet = !firstDemand.containsKey(service);
            int most = quiet ? members.size() : Math.max(1, members.size() / 3);
            if (remoteLoads() >= Math.min(store.parallelLoads(), most)
                    || now.isBefore(lastNewServer.plus(FLEET_SETTLING))) {
                return;
            }
            for (ModelSpecification model : catalog.models().values()) {
                if (!present(model.name()) && prefetch(model.name())) {
                    return;
                }
            }
        }

        private boolean present(String model) {
            for (PlannedServer server : members) {
                if (server.models().containsKey(model)
                        || server.loading(model)
                        || model.equals(server.reservedFor)
                        || server.tier(model) != CopyTier.REMOTE) {
                    return true;
                }
            }
            return false;
        }

        private boolean prefetch(String model) {
            PlannedServer best = null;
            for (PlannedServer server : members) {
                if (!server.free()
                        || server.reservedFor != null
                        || !hasRoom(server, model) && victim(server, model).isEmpty()) {
                    continue;
                }
                if (best == null || held(server) < held(best)) {
                    best = server;
                }
            }
            return best != null && loadOrMakeRoom(best, model, "not_copied_yet");
        }

        private int held(PlannedServer server) {
            return server.listing().onDisk().size() + server.models().size();
        }

        private void ensureAdapter(ModelKey key, List<PlannedServer> holders) {
            for (PlannedServer server : holders) {
                if (server.holds(key) || server.loadingAdapter(key)) {
                    return;
                }
            }
            PlannedServer best = null;
            for (PlannedServer server : holders) {
                if (server.free()
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
            boolean noRoom = server.usedMegabytes(catalog) + size > catalog.weightsMegabytes();
            if (!full && !noRoom) {
                order(server, OrderAction.LOAD, key, "adapter_waited_for", now);
                return;
            }
            server.oldestAdapter(now.minus(ADAPTER_IN_USE))
                    .ifPresent(
                            old ->
                                    order(
                                            server,
                                            OrderAction.UNLOAD,
                                            old,
                                            "makes_room_for_" + key,
                                            now));
        }
    }
}
