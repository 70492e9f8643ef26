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
 * Manages the servers and their orders. The manager gives orders, tracks them until they complete,
 * and determines the outcome of orders that were not answered.
 */
final class OrderManager {
    /** Time to load an adapter, including the transmission of the order. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(14);

    /** Time from an order to unload an unused model until a listing no longer shows the model. */
    static final Duration UNLOAD_TIME = Duration.ofMillis(150);

    /** How long after the expected end of an order the server is asked for a report. */
    static final Duration REPORT_REQUEST_DELAY = Duration.ofMillis(600);

    /**
     * How long to wait before asking for a report again after a conflict, a failed call, or a
     * report that is out of date or shows an order in progress.
     */
    static final Duration REPORT_RETRY_DELAY = Duration.ofMillis(200);

    /** How long to wait before asking for a report again during a load from the weight store. */
    private static final Duration LOADING_REPORT_DELAY = Duration.ofSeconds(1);

    /** An overdue load is expected to take this part of its time so far in addition. */
    private static final int OVERDUE_DIVISOR = 4;

    private static final Duration ORDER_RETRY_INTERVAL = Duration.ofMillis(250);

    /**
     * How long after the decision an unanswered order is abandoned if its server cannot receive
     * orders.
     */
    private static final Duration ABANDON_AFTER = Duration.ofMillis(1200);

    private final WeightStoreLimit storeLimit;
    private final Map<ServerId, PlannedServer> servers = new LinkedHashMap<>();
    private ForwardingTable table;
    private Instant lastServerAddedAt = Instant.EPOCH;
    private List<PlacementCommand> commands = new ArrayList<>();

    OrderManager(WeightStoreLimit storeLimit) {
        this.storeLimit = storeLimit;
    }

    /** Sets the list that receives all commands until this method is called again. */
    void setCommandSink(List<PlacementCommand> sink) {
        commands = sink;
    }

    void install(ForwardingTable installed) {
        table = installed;
    }

    Collection<PlannedServer> servers() {
        return servers.values();
    }

    /** Returns when a server was last added; {@link Instant#EPOCH} if none was. */
    Instant lastServerAddedAt() {
        return lastServerAddedAt;
    }

    Optional<PlannedServer> find(ServerId id, long startedMillis) {
        return Optional.ofNullable(servers.get(id))
                .filter(server -> server.startedMillis() == startedMillis);
    }

    void onServerListed(ServerListing listing, Instant now) {
        PlannedServer server = servers.get(listing.id());
        if (server == null) {
            lastServerAddedAt = now;
            servers.put(listing.id(), new PlannedServer(listing));
            return;
        }
        server.update(listing, now);
        if (server.order != null) {
            completeIfVisible(server, server.isListedWith(server.order.key().model()), now);
        }
    }

    void remove(ServerId id) {
        servers.remove(id);
    }

    /**
     * Starts planning. Another planner may have given orders in the meantime, so this method
     * discards what is remembered of orders and asks each server for a report before its next
     * order.
     */
    void startPlanning(Instant now) {
        servers.values().forEach(server -> server.beginTurn(now));
        engines()
                .values()
                .forEach(catalog -> storeLimit.assumePriorLoads(catalog.loadsPerSecond(), now));
    }

    void stopPlanning() {
        servers.values().forEach(server -> server.order = null);
    }

    void setOrderableServers(Set<ServerId> orderableServers) {
        servers.forEach((id, server) -> server.orderable = orderableServers.contains(id));
    }

    /** Sets the servers that are listed but probably lost. */
    void setSuspectedServers(Set<ServerId> suspected) {
        servers.forEach((id, server) -> server.suspected = suspected.contains(id));
    }

    /**
     * Applies the answer to a transmission of an order. It counts only while that order is in
     * progress and not accepted: a repeated order may be answered after it has ended, and a server
     * refuses all transmissions of an order that it has accepted.
     */
    void onOrderAnswered(
            PlannedServer server, PlannedOrder answered, OrderResult result, Instant now) {
        PlannedOrder order = server.order;
        if (order == null || order.accepted() || !order.isSameOrder(answered)) {
            return;
        }
        switch (result) {
            case ACCEPTED -> {
                server.onOrderAccepted(now.plus(duration(server, order)));
                if (order.key().hasAdapter() && order.action() == OrderAction.UNLOAD) {
                    completeAdapterOrder(server, order, now);
                }
            }
            case ALREADY_DONE -> onAlreadyDone(server, order, now);
            case NOT_SENT -> {
                server.order = null;
                server.needsReport = order.sentAt().isAfter(order.decidedAt());
            }
            case UNKNOWN -> {
                // A later tick sends the order again.
            }
            default -> {
                server.order = null;
                server.needsReport = true;
                server.nextReportAt = now.plus(REPORT_RETRY_DELAY);
            }
        }
    }

    /**
     * Ends an accepted order for an adapter. A load takes effect without being reported. An unload
     * may wait for requests, so reports tell when it has taken effect.
     */
    private void completeAdapterOrder(PlannedServer server, PlannedOrder order, Instant now) {
        server.order = null;
        if (order.action() == OrderAction.UNLOAD) {
            server.onAdapterUnloading(order.key());
            server.nextReportAt = now.plus(REPORT_RETRY_DELAY);
        } else {
            server.onAdapterLoaded(order.key(), now);
            announce(server, order.key(), true);
        }
    }

    private void onAlreadyDone(PlannedServer server, PlannedOrder order, Instant now) {
        server.order = null;
        if (!order.key().hasAdapter()) {
            server.needsReport = true;
            server.nextReportAt = now.plus(REPORT_RETRY_DELAY);
            return;
        }
        if (order.action() == OrderAction.UNLOAD) {
            server.onUnloadAnsweredAsDone(order, now);
            return;
        }
        completeAdapterOrder(server, order, now);
    }

    private Duration duration(PlannedServer server, PlannedOrder order) {
        return duration(server, order.action(), order.key(), order.tier());
    }

    private Duration duration(
            PlannedServer server, OrderAction action, ModelKey key, CopyTier tier) {
        if (action == OrderAction.UNLOAD) {
            return UNLOAD_TIME;
        }
        if (key.hasAdapter()) {
            return ADAPTER_LOAD_TIME;
        }
        return specification(server, key.model()).map(tier::loadTime).orElse(UNLOAD_TIME);
    }

    void onReport(PlannedServer server, ServerReport report, Instant now) {
        if (report.busy() || !server.applyReport(report, now)) {
            boolean loading = server.order != null && server.order.usesWeightStore();
            server.nextReportAt = now.plus(loading ? LOADING_REPORT_DELAY : REPORT_RETRY_DELAY);
            return;
        }
        server.needsReport = false;
        PlannedOrder order = server.order;
        if (order != null && order.accepted() && !order.key().hasAdapter()) {
            boolean overdue = isReportDue(server, order, now);
            completeIfVisible(server, report.models().containsKey(order.key().model()), now);
            if (server.order != null && overdue) {
                // The server is idle but does not show the effect, so the order has failed.
                server.order = null;
            }
        }
    }

    /**
     * Completes an accepted order if the server shows its effect.
     *
     * @param present whether the server's listing or report shows the model of the order
     */
    private void completeIfVisible(PlannedServer server, boolean present, Instant now) {
        PlannedOrder order = server.order;
        if (!order.accepted() || order.key().hasAdapter()) {
            return;
        }
        if (present != (order.action() == OrderAction.LOAD)) {
            return;
        }
        if (order.usesWeightStore()) {
            storeLimit.onLoadEnded(
                    duration(server, order),
                    Duration.between(order.sentAt(), now),
                    order.loadsAtStart(),
                    remoteLoads(),
                    now);
        }
        server.order = null;
        if (order.action() == OrderAction.LOAD) {
            server.reservedFor = null;
            server.onModelLoaded(order.key().model(), now);
            announce(server, order.key(), true);
        } else {
            server.onModelUnloaded(order.key().model());
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

    /**
     * Returns how many servers make room for a model that they will load from the weight store.
     *
     * @param except a server that does not count
     */
    int reservedRemoteLoads(PlannedServer except) {
        int count = 0;
        for (PlannedServer server : servers.values()) {
            if (server != except && server.isReservedForRemoteLoad()) {
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
            if (order != null && order.accepted() && order.usesWeightStore()) {
                order = expectLoadFromStore(server, order, now);
            }
            if (order != null && !order.accepted()) {
                if (!server.orderable && now.isAfter(order.decidedAt().plus(ABANDON_AFTER))) {
                    // The server may still carry out the order. The report that is requested before
                    // the next order shows the result.
                    server.order = null;
                    server.needsReport = true;
                } else if (now.isAfter(order.sentAt().plus(ORDER_RETRY_INTERVAL))) {
                    resend(server, order, now);
                }
            } else if (order != null && order.key().hasAdapter()) {
                if (!now.isBefore(order.expectedEnd())) {
                    completeAdapterOrder(server, order, now);
                }
            } else if (order != null && isReportDue(server, order, now)) {
                requestReport(server, now);
            } else if (server.needsReport || server.isUnloadingAdapter()) {
                requestReport(server, now);
            }
        }
    }

    /**
     * Tells whether a report should show if an order has taken effect. The expected end of a load
     * from the weight store keeps moving, so its time at full speed decides.
     */
    private boolean isReportDue(PlannedServer server, PlannedOrder order, Instant now) {
        Instant due =
                order.usesWeightStore()
                        ? order.sentAt().plus(duration(server, order))
                        : order.expectedEnd();
        return now.isAfter(due.plus(REPORT_REQUEST_DELAY));
    }

    /**
     * Corrects the expected end of a load from the weight store. Parallel loads slow each other
     * down, so the end moves when others begin. A load that is overdue is expected to take a
     * quarter longer than it has taken so far.
     */
    private PlannedOrder expectLoadFromStore(
            PlannedServer server, PlannedOrder order, Instant now) {
        Duration atFullSpeed = duration(server, order);
        Duration elapsed = Duration.between(order.sentAt(), now);
        storeLimit.onLoadInProgress(atFullSpeed, elapsed, order.loadsAtStart(), remoteLoads(), now);
        Instant end = order.sentAt().plus(storeLimit.loadTime(atFullSpeed, remoteLoads()));
        if (end.isBefore(now)) {
            end = now.plus(elapsed.dividedBy(OVERDUE_DIVISOR));
        }
        server.order = order.asAccepted(end);
        return server.order;
    }

    private void resend(PlannedServer server, PlannedOrder order, Instant now) {
        server.order =
                new PlannedOrder(
                        order.action(),
                        order.key(),
                        order.tier(),
                        order.precondition(),
                        order.decidedAt(),
                        now,
                        order.expectedEnd(),
                        order.loadsAtStart(),
                        false);
        sendOrder(server, server.order, "no_answer");
    }

    private void requestReport(PlannedServer server, Instant now) {
        if (now.isBefore(server.nextReportAt)) {
            return;
        }
        server.nextReportAt = now.plus(REPORT_REQUEST_DELAY);
        commands.add(
                new PlacementCommand.RequestReport(
                        server.id(), server.startedMillis(), server.listing().address()));
    }

    void giveOrder(
            PlannedServer server, OrderAction action, ModelKey key, String reason, Instant now) {
        CopyTier tier = action == OrderAction.LOAD ? server.tier(key.model()) : CopyTier.MEMORY;
        boolean remote = tier == CopyTier.REMOTE && !key.hasAdapter();
        PlannedOrder order =
                new PlannedOrder(
                        action,
                        key,
                        tier,
                        server.orderCount(),
                        now,
                        now,
                        now.plus(duration(server, action, key, tier)),
                        remote ? remoteLoads() + 1 : 0,
                        false);
        server.order = order;
        if (order.usesWeightStore()) {
            storeLimit.onLoadStarted(now);
        }
        if (key.hasAdapter() && action == OrderAction.LOAD) {
            server.onAdapterOrdered(key, now);
        }
        sendOrder(server, order, reason);
    }

    private void announce(PlannedServer server, ModelKey key, boolean held) {
        commands.add(new PlacementCommand.AnnounceReplica(server.id(), key, held));
    }

    private void sendOrder(PlannedServer server, PlannedOrder order, String reason) {
        if (order.action() == OrderAction.UNLOAD) {
            // Announced before the order, so that instances stop sending requests to the replica.
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
                .map(current -> current.services().get(server.listing().service()))
                .flatMap(ForwardingService::catalog)
                .flatMap(catalog -> catalog.model(model));
    }
}
