package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * The servers with their orders: gives orders, follows them to their end and finds out what became
 * of those that were not answered.
 */
final class OrderBook {
    /** Time to load an adapter, with the way of the order. */
    private static final Duration ADAPTER_TIME = Duration.ofMillis(14);

    /** Time to drop a model that no request uses, until a listing shows it. */
    static final Duration UNLOAD_TIME = Duration.ofMillis(150);

    /** How long after the expected end of an order the server is asked. */
    static final Duration REPORT_AFTER = Duration.ofMillis(600);

    static final Duration REPORT_PAUSE = Duration.ofMillis(200);
    private static final Duration ORDER_REPEAT = Duration.ofMillis(250);

    /** When an order without an answer to a server that gets none is given up. */
    private static final Duration ABANDON_AFTER = Duration.ofMillis(1200);

    private final WeightStoreLimit store;
    private final Map<ServerId, PlannedServer> servers = new LinkedHashMap<>();
    private ForwardingTable table;
    private Instant lastNewServer = Instant.EPOCH;
    private List<PlacementCommand> commands = new ArrayList<>();

    OrderBook(WeightStoreLimit store) {
        this.store = store;
    }

    /** Sets where commands go until the next call. */
    void commandsTo(List<PlacementCommand> sink) {
        commands = sink;
    }

    void install(ForwardingTable installed) {
        table = installed;
    }

    Collection<PlannedServer> servers() {
        return servers.values();
    }

    /** Returns when a server was listed for the first time. */
    Instant lastNewServer() {
        return lastNewServer;
    }

    Optional<PlannedServer> find(ServerId id, long startedMillis) {
        return Optional.ofNullable(servers.get(id))
                .filter(server -> server.startedMillis() == startedMillis);
    }

    void listed(ServerListing listing, Instant now) {
        PlannedServer server = servers.get(listing.id());
        if (server == null) {
            lastNewServer = now;
            servers.put(listing.id(), new PlannedServer(listing));
            return;
        }
        server.update(listing, now);
        if (server.order != null) {
            checkDone(server, server.states(server.order.key().model()), now);
        }
    }

    void gone(ServerId id) {
        servers.remove(id);
    }

    /** Forgets all orders, since others may have given some: each server is asked first. */
    void begin(Instant now) {
        for (PlannedServer server : servers.values()) {
            server.order = null;
            server.reservedFor = null;
            server.orderable = false;
            server.uncertain = true;
            server.nextReport = now;
        }
        engines().values().forEach(catalog -> store.assumeUsed(catalog.loadsPerSecond(), now));
    }

    void end() {
        servers.values().forEach(server -> server.order = null);
    }

    void orderable(Set<ServerId> reached) {
        servers.forEach((id, server) -> server.orderable = reached.contains(id));
    }

    void orderAnswered(PlannedServer server, OrderResult result, Instant now) {
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

    void reported(PlannedServer server, ServerReport report, Instant now) {
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

    int remoteLoads() {
        int count = 0;
        for (PlannedServer server : servers.values()) {
            if (server.order != null && server.order.usesWeightStore()) {
                count++;
            }
        }
        return count;
    }

    void followOrders(Instant now) {
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

    void order(PlannedServer server, OrderAction action, ModelKey key, String reason, Instant now) {
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

    Map<ServiceName, ModelCatalog> engines() {
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
}
