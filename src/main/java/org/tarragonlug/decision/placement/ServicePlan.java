package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * One round of planning for the servers of one service.
 *
 * <p>A model is loaded where it will be ready first. A server that is busy with an order or whose
 * models are in use at the moment counts with the time until it is free, so that a load from the
 * weight store, which takes many times as long, begins only where no local copy is nearer.
 */
final class ServicePlan {
    /** Assumed wait for a server that gets no orders at present. */
    private static final Duration NO_ORDERS_WAIT = Duration.ofSeconds(4);

    private static final Duration EXPECTATION_PAUSE = Duration.ofMillis(300);

    /** Expected wait if no server can load a model at present. */
    private static final Duration NO_SERVER_WAIT = Duration.ofSeconds(5);

    /** An adapter used since this time is not dropped for another one. */
    private static final Duration ADAPTER_IN_USE = Duration.ofMillis(500);

    /** A model used within this time is not dropped if it is the last replica. */
    private static final Duration MODEL_IN_USE = Duration.ofMillis(450);

    /** After a new server, copies that others may list soon are not made for this long. */
    private static final Duration FLEET_SETTLING = Duration.ofMillis(1500);

    /**
     * How long a model stays at least once it is loaded: until the requests that waited for it have
     * begun. The server itself finishes what has begun before it drops the model.
     */
    private static final Duration SHORTEST_STAY = Duration.ofMillis(350);

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

    /** What a long order costs on a server whose requests need adapters. */
    private static final Duration BLOCKED_ADAPTERS_COST = Duration.ofMillis(2500);

    /** Ranks servers with busy models behind all others for copies. */
    private static final int BUSY_SERVER_RANK = 1000;

    private final PlanContext context;
    private final Consumer<PlacementCommand> commands;
    private final OrderBook book;
    private final WeightStoreLimit store;
    private final DemandBoard demand;
    private final ServiceName service;
    private final ModelCatalog catalog;
    private final Instant now;
    private final List<PlannedServer> members = new ArrayList<>();

    private final Set<String> wanted = new HashSet<>();
    private final Map<String, List<PlannedServer>> holders = new HashMap<>();
    private final Map<String, Double> rates = new HashMap<>();

    /** When a server will have done what this round has intended for it. */
    private final Map<PlannedServer, Instant> intended = new HashMap<>();

    /**
     * Prepares a round.
     *
     * @param service the service
     * @param catalog its models
     * @param context what lasts from round to round
     * @param commands receives what instances should be told
     * @param now the present time
     */
    ServicePlan(
            ServiceName service,
            ModelCatalog catalog,
            PlanContext context,
            Consumer<PlacementCommand> commands,
            Instant now) {
        this.context = context;
        this.commands = commands;
        this.book = context.book;
        this.store = context.store;
        this.demand = context.demand;
        this.service = service;
        this.catalog = catalog;
        this.now = now;
        for (PlannedServer server : book.servers()) {
            if (server.listing().service().equals(service) && server.ready()) {
                members.add(server);
                index(server);
            }
        }
    }

    private void index(PlannedServer server) {
        for (String model : server.models().keySet()) {
            if (server.holds(model)) {
                holders.computeIfAbsent(model, each -> new ArrayList<>()).add(server);
            }
        }
    }

    private double rate(String model) {
        return rates.computeIfAbsent(model, each -> demand.modelRate(service, each, now));
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
            if (rate(model) >= WARM_RATE && handled.add(model) && holders(model).isEmpty()) {
                ensureModel(model, "asked_for");
            }
        }
        replicate();
        prewarm();
        prefetch();
    }

    /** Returns the holders at the beginning of the round, less those that drop the model now. */
    private List<PlannedServer> holders(String model) {
        List<PlannedServer> all = holders.getOrDefault(model, List.of());
        for (PlannedServer server : all) {
            if (!server.holds(model)) {
                return all.stream().filter(each -> each.holds(model)).toList();
            }
        }
        return all;
    }

    private boolean underWay(String model) {
        return members.stream()
                .anyMatch(server -> server.loading(model) || model.equals(server.reservedFor));
    }

    private int copies(String model) {
        int count = holders(model).size();
        for (PlannedServer server : members) {
            boolean coming = server.loading(model) || model.equals(server.reservedFor);
            if (coming && !server.holds(model)) {
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
        Instant sent = context.expectationsSent.getOrDefault(want.key(), Instant.EPOCH);
        if (now.isBefore(sent.plus(EXPECTATION_PAUSE))) {
            return;
        }
        context.expectationsSent.put(want.key(), now);
        commands.accept(
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
                return ready.isAfter(now) ? ready : now.plus(OrderBook.REPORT_AFTER);
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
        return server.uncertain ? start.plus(OrderBook.REPORT_PAUSE) : start;
    }

    private Duration loadTime(PlannedServer server, String model) {
        return catalog.model(model).map(server.tier(model)::loadTime).orElse(OrderBook.UNLOAD_TIME);
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
        if (server.tier(model) == CopyTier.REMOTE && holdsBusyModel(server)) {
            ready = ready.plus(BLOCKED_ADAPTERS_COST);
        }
        boolean unloading = server.order == null || server.order.action() == OrderAction.UNLOAD;
        if (server.reservedFor != null && unloading) {
            ready = ready.plus(loadTime(server, server.reservedFor));
        }
        if (hasRoom(server, model)) {
            return Optional.of(ready);
        }
        if (victim(server, model).isPresent()) {
            return Optional.of(ready.plus(OrderBook.UNLOAD_TIME));
        }
        return roomLater(server, model)
                ? Optional.of(ready.plus(OrderBook.UNLOAD_TIME).plus(MODEL_IN_USE))
                : Optional.empty();
    }

    /**
     * Tells whether a server holds a model in wide use that has adapters. An order from the weight
     * store would keep the adapters that its requests need away for seconds.
     */
    private boolean holdsBusyModel(PlannedServer server) {
        for (String model : server.models().keySet()) {
            boolean adapted = catalog.model(model).filter(each -> each.adapters() > 0).isPresent();
            if (adapted && desired(model) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether a server can make room once its idle models are not in use any more. */
    private boolean roomLater(PlannedServer server, String model) {
        double room = catalog.weightsMegabytes() - server.usedMegabytes(catalog);
        for (String held : server.models().keySet()) {
            if (desired(held) == 0) {
                room += catalog.model(held).map(ModelSpecification::weightsMegabytes).orElse(0.0);
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
        if (remote && !store.allows(catalog.loadsPerSecond(), book.remoteLoads(), now)) {
            return false;
        }
        if (hasRoom(server, model)) {
            book.order(server, OrderAction.LOAD, new ModelKey(model, ""), reason, now);
            server.reservedFor = model;
            return true;
        }
        Optional<String> victim = victim(server, model);
        if (victim.isEmpty()) {
            server.reservedFor = null;
            return false;
        }
        server.reservedFor = model;
        book.order(
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
            double value = rate(model) / copies(model);
            long idle = Duration.between(demand.lastUsed(service, model), now).toSeconds();
            value -= Math.min(idle, 1000) * 1e-6;
            boolean adapted = catalog.model(model).filter(each -> each.adapters() > 0).isPresent();
            value += adapted ? 1e-3 : 0;
            if (value < lowest) {
                lowest = value;
                best = model;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Tells whether a server may drop a model. A model that was just loaded stays for a while, so
     * that the requests that waited for it reach it.
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
        double rate = rate(model);
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
        Instant since = context.firstDemand.getOrDefault(service, Instant.MAX);
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
     * Loads models with adapters, which operators declare for models in wide use, before anybody
     * asks for them; only from local copies and only while no demand is known.
     */
    private void prewarm() {
        if (context.firstDemand.containsKey(service)) {
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
        boolean quiet = !context.firstDemand.containsKey(service);
        int most = quiet ? members.size() : Math.max(1, members.size() / 3);
        if (book.remoteLoads() >= Math.min(store.parallelLoads(), most)
                || now.isBefore(book.lastNewServer().plus(FLEET_SETTLING))) {
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
        int held = server.listing().onDisk().size() + server.models().size();
        return holdsBusyModel(server) ? held + BUSY_SERVER_RANK : held;
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
            book.order(server, OrderAction.LOAD, key, "adapter_waited_for", now);
            return;
        }
        server.oldestAdapter(now.minus(ADAPTER_IN_USE))
                .ifPresent(
                        old ->
                                book.order(
                                        server,
                                        OrderAction.UNLOAD,
                                        old,
                                        "makes_room_for_" + key,
                                        now));
    }
}
