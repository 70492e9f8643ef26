package org.tarragonlug.decision.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.StateMachine;

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
 * <p>A round of planning costs time in proportion to models and servers, while reports, answers and
 * listings come hundreds of times a second in a large deployment, so only ticks plan. On each tick
 * the planner serves, in this order, requests that wait for a model or adapter, models that were
 * asked for and have no replica, further replicas of busy models, and copies on the disks of models
 * that are nowhere yet. A model is loaded where it will be ready first: a copy in memory or on disk
 * takes a fraction of a load from the weight store, so loading a model once makes each later load
 * of it cheap, also after it had to make room.
 *
 * <p>Limits: demand is known with the delay of the instances' reports, and a server does one order
 * at a time, so a burst for more rare models than there are servers is served in turns.
 */
public final class PlacementPlanner implements StateMachine<PlacementEvent, PlacementCommand> {
    private final PlanContext context;
    private final OrderManager orders;
    private boolean configured;
    private boolean planning;

    /**
     * Creates a planner that does not plan yet.
     *
     * @param loadWindow length of the window in which loads from the weight store are limited
     */
    public PlacementPlanner(Duration loadWindow) {
        this.context = new PlanContext(new WeightStoreLimit(loadWindow));
        this.orders = context.orders;
    }

    /** Returns how many orders are in progress. */
    public long ordersInProgress() {
        return orders.servers().stream().filter(server -> server.order != null).count();
    }

    @Override
    public List<PlacementCommand> handle(PlacementEvent event, Instant now) {
        List<PlacementCommand> commands = new ArrayList<>();
        orders.setCommandSink(commands);
        apply(event, now);
        if (planning && configured && event instanceof PlacementEvent.Tick) {
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
        } else if (event instanceof PlacementEvent.ServerUnlisted gone) {
            orders.remove(gone.server());
        } else if (event instanceof PlacementEvent.DemandReported reported) {
            onDemandReported(reported, now);
        } else if (event instanceof PlacementEvent.OrderAnswered answered) {
            orders.find(answered.server(), answered.startedMillis())
                    .ifPresent(server -> orders.onOrderAnswered(server, answered.result(), now));
        } else if (event instanceof PlacementEvent.ReportReceived reported) {
            orders.find(reported.server(), reported.startedMillis())
                    .ifPresent(server -> orders.onReport(server, reported.report(), now));
        } else if (event instanceof PlacementEvent.ReportFailed failed) {
            orders.find(failed.server(), failed.startedMillis())
                    .ifPresent(server -> server.nextReportAt = now.plus(OrderManager.REPORT_RETRY_DELAY));
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
