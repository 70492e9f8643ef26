package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Lets the planner plan while this instance is the planning one, and carries out its commands.
 *
 * <p>Of the holders of order leases the one with the lowest group that is alive plans. Each holder
 * judges this by itself; two planners for a moment do no harm.
 */
final class PlacementDriver {
    private final PlacementPlanner planner;
    private final OrderExecutor executor;
    private final PlatformEngineClient engines;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final NoticeListener noticeListener;
    private boolean planning;
    private Set<ServerId> orderableServers = Set.of();

    /** Receives what instances that wait should know. */
    interface NoticeListener {
        /** A server holds a model. */
        void onReplicaAnnounced(PlacementCommand.AnnounceReplica replica);

        /** A model is expected. */
        void onExpectationAnnounced(PlacementCommand.AnnounceExpectation expectation);
    }

    PlacementDriver(
            PlacementPlanner planner,
            OrderExecutor executor,
            PlatformEngineClient engines,
            Executor loop,
            TimerService timers,
            EventLog log,
            NoticeListener noticeListener) {
        this.planner = planner;
        this.executor = executor;
        this.engines = engines;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.noticeListener = noticeListener;
    }

    /** Tells whether this instance plans. */
    boolean isPlanning() {
        return planning;
    }

    /**
     * Follows who plans and which servers can be given orders, and lets the planner plan.
     *
     * @param shouldPlan whether this instance is to plan
     * @param servers the servers that orders reach
     */
    void tick(boolean shouldPlan, Set<ServerId> servers) {
        if (planning != shouldPlan) {
            planning = shouldPlan;
            log.event(shouldPlan ? LogEvent.PLANNING_BEGUN : LogEvent.PLANNING_ENDED).write();
            orderableServers = Set.of();
            post(
                    shouldPlan
                            ? new PlacementEvent.PlanningBegun()
                            : new PlacementEvent.PlanningEnded());
        }
        if (!planning) {
            return;
        }
        if (!servers.equals(orderableServers)) {
            orderableServers = servers;
            post(new PlacementEvent.OrderableServersChanged(servers));
        } else {
            post(new PlacementEvent.Tick());
        }
    }

    void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, timers.now())) {
            execute(command);
        }
    }

    private void execute(PlacementCommand command) {
        if (command instanceof PlacementCommand.GiveOrder order) {
            sendOrder(order);
        } else if (command instanceof PlacementCommand.RequestReport ask) {
            requestReport(ask);
        } else if (command instanceof PlacementCommand.AnnounceReplica replica) {
            noticeListener.onReplicaAnnounced(replica);
        } else if (command instanceof PlacementCommand.AnnounceExpectation expectation) {
            noticeListener.onExpectationAnnounced(expectation);
        }
    }

    private void sendOrder(PlacementCommand.GiveOrder order) {
        executor.execute(order)
                .whenCompleteAsync(
                        (result, failure) ->
                                post(
                                        new PlacementEvent.OrderAnswered(
                                                order.server(), order.startedMillis(), result)),
                        loop);
    }

    private void requestReport(PlacementCommand.RequestReport command) {
        Optional<InetSocketAddress> address = Addresses.parse(command.address());
        if (address.isEmpty()) {
            return;
        }
        engines.fetchReport(command.server(), address.get())
                .whenCompleteAsync(
                        (report, failure) -> {
                            if (failure != null) {
                                post(
                                        new PlacementEvent.ReportFailed(
                                                command.server(), command.startedMillis()));
                            } else {
                                post(
                                        new PlacementEvent.ReportReceived(
                                                command.server(), command.startedMillis(), report));
                            }
                        },
                        loop);
    }
}
