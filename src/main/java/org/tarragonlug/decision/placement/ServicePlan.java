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
 * <p>A model is loaded where it will be ready first ({@link ReadyTimes}); what goes for it is what
 * is missed least ({@link ReplicaPolicy}).
 */
final class ServicePlan {
    private static final Duration EXPECTATION_PAUSE = Duration.ofMillis(300);

    /** An adapter used since this time is not dropped for another one. */
    private static final Duration ADAPTER_IN_USE = Duration.ofMillis(500);

    /** After a new server, copies that others may list soon are not made for this long. */
    private static final Duration FLEET_SETTLING = Duration.ofMillis(1500);

    /** Ranks servers with busy models behind all others for copies. */
    private static final int BUSY_SERVER_RANK = 1000;

    /** Cost of a second replica in one failure domain, milliseconds of loading time. */
    private static final int SAME_DOMAIN_COST = 1500;

    /** Cost of a replica that needs another model dropped, milliseconds of loading time. */
    private static final int DROP_COST = 500;

    private final PlanContext context;
    private final Consumer<PlacementCommand> commands;
    private final OrderBook book;
    private final WeightStoreLimit store;
    private final DemandBoard demand;
    private final ServiceName service;
    private final ModelCatalog catalog;
    private final Instant now;
    private final PlacementView view;
    private final ReplicaPolicy policy;
    private final ReadyTimes times;

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
        this.view = new PlacementView(service, catalog, context.book);
        this.policy = new ReplicaPolicy(view, context, service, now);
        this.times = new ReadyTimes(view, policy, now);
    }

    void run() {
        List<DemandBoard.Want> wants = demand.wants(service, now);
        wants.forEach(want -> policy.wanted(want.key().model()));
        continueReserved();
        Set<String> handled = new HashSet<>();
        for (DemandBoard.Want want : wants) {
            serve(want, handled);
        }
        List<String> recent = demand.recentModels(service, now);
        for (String model : recent) {
            if (policy.rate(model) >= ReplicaPolicy.WARM_RATE
                    && handled.add(model)
                    && view.holders(model).isEmpty()) {
                ensureModel(model, "asked_for");
            }
        }
        recent.forEach(this::replicate);
        prewarm();
        prefetch();
    }

    /** Goes on where room was being made for a model. */
    private void continueReserved() {
        for (PlannedServer server : view.members()) {
            if (server.reservedFor == null || !server.free()) {
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

    private void serve(DemandBoard.Want want, Set<String> handled) {
        ModelKey key = want.key();
        if (catalog.model(key.model()).isEmpty()) {
            return;
        }
        List<PlannedServer> holders = view.holders(key.model());
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
                        service, want.key(), times.earliest(want.key().model())));
    }

    /** Begins to load a model where it will be ready first, unless it is under way. */
    private void ensureModel(String model, String reason) {
        if (view.underWay(model)) {
            return;
        }
        PlannedServer best = null;
        Instant earliest = null;
        for (PlannedServer server : view.members()) {
            Optional<Instant> ready = times.readyAt(server, model);
            if (ready.isPresent() && (earliest == null || ready.get().isBefore(earliest))) {
                earliest = ready.get();
                best = server;
            }
        }
        if (best == null) {
            return;
        }
        times.intend(best, earliest);
        if (best.free() && best.reservedFor == null) {
            loadOrMakeRoom(best, model, reason);
        }
    }

    private boolean storeAllows() {
        return store.allows(catalog.loadsPerSecond(), book.remoteLoads(), now);
    }

    private boolean loadOrMakeRoom(PlannedServer server, String model, String reason) {
        if (server.tier(model) == CopyTier.REMOTE && !storeAllows()) {
            return false;
        }
        if (view.hasRoom(server, model)) {
            book.order(server, OrderAction.LOAD, new ModelKey(model, ""), reason, now);
            reserve(server, model);
            return true;
        }
        Optional<String> victim = policy.victim(server, model);
        if (victim.isEmpty()) {
            reserve(server, null);
            return false;
        }
        ModelKey dropped = new ModelKey(victim.get(), "");
        book.order(server, OrderAction.UNLOAD, dropped, "makes_room_for_" + model, now);
        reserve(server, model);
        return true;
    }

    private void replicate(String model) {
        int copies = view.copies(model);
        if (catalog.model(model).isEmpty() || copies >= policy.desired(model)) {
            return;
        }
        boolean remoteToo = copies <= 1;
        replicaServer(model, remoteToo).ifPresent(server -> loadOrMakeRoom(server, model, "busy"));
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
            if (model.adapters() > 0 && view.copies(model.name()) == 0) {
                replicaServer(model.name(), false)
                        .ifPresent(server -> loadOrMakeRoom(server, model.name(), "prewarmed"));
            }
        }
    }

    private Optional<PlannedServer> replicaServer(String model, boolean remoteToo) {
        Set<FailureDomain> domains = new HashSet<>();
        view.holders(model).forEach(server -> domains.add(server.listing().failureDomain()));
        PlannedServer best = null;
        double lowest = Double.MAX_VALUE;
        for (PlannedServer server : view.members()) {
            if (!server.free()
                    || server.reservedFor != null
                    || server.holds(model)
                    || !remoteToo && server.tier(model) == CopyTier.REMOTE) {
                continue;
            }
            boolean room = view.hasRoom(server, model);
            if (!room && policy.victim(server, model).isEmpty()) {
                continue;
            }
            double cost = times.loadTime(server, model).toMillis();
            cost += domains.contains(server.listing().failureDomain()) ? SAME_DOMAIN_COST : 0;
            cost += room ? 0 : DROP_COST;
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
        int members = view.members().size();
        int most = quiet ? members : Math.max(1, members / 3);
        if (book.remoteLoads() >= Math.min(store.parallelLoads(), most)
                || !storeAllows()
                || now.isBefore(book.lastNewServer().plus(FLEET_SETTLING))) {
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
        for (PlannedServer server : view.members()) {
            present.addAll(server.models().keySet());
            present.addAll(server.listing().inMemory());
            present.addAll(server.listing().onDisk());
        }
        for (String model : catalog.models().keySet()) {
            if (view.underWay(model)) {
                present.add(model);
            }
        }
        return present;
    }

    private void prefetch(String model) {
        PlannedServer best = null;
        int fewest = Integer.MAX_VALUE;
        for (PlannedServer server : view.members()) {
            if (!server.free()
                    || server.reservedFor != null
                    || !view.hasRoom(server, model) && policy.victim(server, model).isEmpty()) {
                continue;
            }
            int held = held(server);
            if (held < fewest) {
                fewest = held;
                best = server;
            }
        }
        if (best != null) {
            loadOrMakeRoom(best, model, "not_copied_yet");
        }
    }

    private int held(PlannedServer server) {
        int held = server.listing().onDisk().size() + server.models().size();
        return times.holdsBusyModel(server) ? held + BUSY_SERVER_RANK : held;
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
        if (!full && size <= view.room(server)) {
            book.order(server, OrderAction.LOAD, key, "adapter_waited_for", now);
            view.refresh(server);
            return;
        }
        Optional<ModelKey> old = server.oldestAdapter(now.minus(ADAPTER_IN_USE));
        if (old.isPresent()) {
            book.order(server, OrderAction.UNLOAD, old.get(), "makes_room_for_" + key, now);
            view.refresh(server);
        }
    }
}
