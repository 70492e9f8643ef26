package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
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
 * Runs the placement planner while this instance is responsible for planning, and executes the
 * planner's commands.
 *
 * <p>Of all live holders of order leases, the holder of the lowest group number plans. Each holder
 * determines this on its own, so two instances may plan for a short time; this does no harm.
 */
final class PlacementDriver {
    private final PlacementPlanner planner;
    private final OrderExecutor executor;
    private final PlatformEngineClient engines;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final LearntPaceLog paceLog;
    private final NoticeListener noticeListener;
    private boolean planning;
    private Set<ServerId> orderableServers = Set.of();

    /** Receives the announcements of the planner, which are sent to other instances as notices. */
    interface NoticeListener {
        /** Called when a server holds a model, or no longer holds it. */
        void onReplicaAnnounced(PlacementCommand.AnnounceReplica replica);

        /** Called when the planner expects a model to be ready at a certain time. */
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
        this.paceLog = new LearntPaceLog(log);
        this.noticeListener = noticeListener;
    }

    /** Returns whether this instance is the planner now. */
    boolean isPlanning() {
        return planning;
    }

    /**
     * Starts or ends planning if required, updates the set of servers that can receive orders, and
     * runs one round of planning.
     *
     * @param shouldPlan whether this instance is responsible for planning
     * @param servers the servers that orders can be sent to now
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

    /** Returns the servers that several instances cannot reach, as far as this instance knows. */
    Set<ServerId> suspectedServers() {
        return planner.suspectedServers(timers.now());
    }

    /** Passes on how long work takes on the servers, in percent; others have the usual pace. */
    void onPacesLearnt(Map<ServerId, Integer> paces) {
        paceLog.update(paces);
        post(new PlacementEvent.PacesLearnt(paces));
    }

    void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, timers.now())) {
            execute(command);
        }
    }

    private void execute(PlacementCommand command) {
        if (command instanceof PlacementCommand.GiveOrder order) {
            sendOrder(order);
        } else if (command instanceof PlacementCommand.RequestReport request) {
            requestReport(request);
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
                                                order.server(),
                                                order.startedMillis(),
                                                order.order(),
                                                result)),
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
