package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.ServerId;

/**
 * Decides which servers hold which models, and gives the orders to load and unload them.
 *
 * <p>Normally one planner is active, but two planners at the same time do no harm. The holders of
 * the servers' leases send the orders, and each order states how many orders the server must have
 * accepted before. If two planners contradict each other, the server therefore refuses one of the
 * orders. A new planner needs no handover, because it rebuilds its state from listings and reports.
 * An unanswered order is sent again with the same number. The server carries out only one of the
 * transmissions, whichever arrives first, and none after it has accepted the next order. Before a
 * planner gives its first order to a server, it asks the server for a report.
 *
 * <p>The time for a planning round is proportional to the number of models and servers, whereas
 * reports, answers and listings arrive hundreds of times per second in a large deployment.
 * Therefore only ticks run planning rounds. On each tick the planner serves, in this order,
 * requests that wait for a model or adapter, requested models without a replica, further replicas
 * of busy models, and disk copies of models that no server holds or has a copy of. A model is
 * loaded on the server where it will be ready first. A load from a copy in memory or on disk takes
 * a fraction of the time of a load from the weight store. Loading a model once thus makes each
 * later load on that server cheap, even after the model was unloaded to make room.
 *
 * <p>Limitations: the planner learns of demand only with the delay of the instances' reports. A
 * server carries out one order at a time, so when a burst of requests needs more rare models than
 * there are servers, the models are loaded one after another.
 */
public final class PlacementPlanner implements StateMachine<PlacementEvent, PlacementCommand> {
    private final PlanContext context;
    private final SuspectedServers suspected = new SuspectedServers();
    private final OrderManager orders;
    private boolean configured;
    private boolean planning;

    /**
     * Creates a planner that is inactive until {@link PlacementEvent.PlanningBegun}.
     *
     * @param loadWindow length of the sliding window that limits loads from the weight store
     */
    public PlacementPlanner(Duration loadWindow) {
        this.context = new PlanContext(new WeightStoreLimit(loadWindow));
        this.orders = context.orders;
    }

    /** Returns the number of orders that are in progress over all servers. */
    public long ordersInProgress() {
        return orders.servers().stream().filter(server -> server.order != null).count();
    }

    /** Returns the servers that are listed but that several instances cannot reach. */
    public Set<ServerId> suspectedServers(Instant now) {
        return suspected.current(now);
    }

    @Override
    public List<PlacementCommand> handle(PlacementEvent event, Instant now) {
        List<PlacementCommand> commands = new ArrayList<>();
        orders.setCommandSink(commands);
        apply(event, now);
        if (planning && configured && event instanceof PlacementEvent.Tick) {
            orders.setSuspectedServers(suspected.current(now));
            orders.followOrders(now);
            orders.engines()
                    .forEach(
                            (service, catalog) ->
                                    new PlanningRound(service, catalog, context, commands::add, now)
                                            .run());
        }
        return commands;
    }

    private void apply(PlacementEvent event, Instant now) {
        if (event instanceof PlacementEvent.TableInstalled installed) {
            orders.install(installed.table());
            configured = true;
        } else if (event instanceof PlacementEvent.ServerListed listed) {
            orders.onServerListed(listed.listing(), now);
        } else if (event instanceof PlacementEvent.ServerUnlisted unlisted) {
            orders.remove(unlisted.server());
        } else if (event instanceof PlacementEvent.DemandReported reported) {
            onDemandReported(reported, now);
        } else if (event instanceof PlacementEvent.ServersUnreachable unreachable) {
            suspected.onReport(
                    unreachable.from(), unreachable.servers(), orders.servers().size(), now);
        } else if (event instanceof PlacementEvent.PacesLearnt learnt) {
            orders.servers().forEach(server -> server.setPace(learnt.paces().get(server.id())));
        } else if (event instanceof PlacementEvent.OrderAnswered answered) {
            orders.find(answered.server(), answered.startedMillis())
                    .ifPresent(
                            server ->
                                    orders.onOrderAnswered(
                                            server, answered.order(), answered.result(), now));
        } else if (event instanceof PlacementEvent.ReportReceived reported) {
            orders.find(reported.server(), reported.startedMillis())
                    .ifPresent(server -> orders.onReport(server, reported.report(), now));
        } else if (event instanceof PlacementEvent.ReportFailed failed) {
            orders.find(failed.server(), failed.startedMillis())
                    .ifPresent(
                            server ->
                                    server.nextReportAt =
                                            now.plus(OrderManager.REPORT_RETRY_DELAY));
        } else if (event instanceof PlacementEvent.PlanningBegun) {
            planning = true;
            orders.startPlanning(now);
        } else if (event instanceof PlacementEvent.PlanningEnded) {
            planning = false;
            orders.stopPlanning();
        } else if (event instanceof PlacementEvent.OrderableServersChanged orderable) {
            orders.setOrderableServers(orderable.servers());
        }
    }

    private void onDemandReported(PlacementEvent.DemandReported event, Instant now) {
        for (ModelDemand each : event.demands()) {
            context.firstDemand.putIfAbsent(each.service(), now);
            context.demand.addReport(event.from(), each, now);
            if (each.key().hasAdapter()) {
                orders.servers().forEach(server -> server.onAdapterUsed(each.key(), now));
            }
        }
    }
}
