package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.EngineCalls;
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
    private final EngineCalls engines;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final NoticeListener notices;
    private boolean active;
    private Set<ServerId> orderable = Set.of();

    /** Receives what instances that wait should know. */
    interface NoticeListener {
        /** A server holds a model. */
        void replica(PlacementCommand.AnnounceReplica replica);

        /** A model is expected. */
        void expectation(PlacementCommand.AnnounceExpectation expectation);
    }

    PlacementDriver(
            PlacementPlanner planner,
            OrderExecutor executor,
            EngineCalls engines,
            Executor loop,
            TimerService timers,
            EventLog log,
            NoticeListener notices) {
        this.planner = planner;
        this.executor = executor;
        this.engines = engines;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.notices = notices;
    }

    /** Tells whether this instance plans. */
    boolean active() {
        return active;
    }

    /**
     * Follows who plans and which servers can be given orders, and lets the planner plan.
     *
     * @param planning whether this instance is to plan
     * @param servers the servers that orders reach
     */
    void tick(boolean planning, Set<ServerId> servers) {
        if (active != planning) {
            active = planning;
            log.event(planning ? LogEvent.PLANNING_BEGUN : LogEvent.PLANNING_ENDED).write();
            orderable = Set.of();
            post(
                    planning
                            ? new PlacementEvent.PlanningBegun()
                            : new PlacementEvent.PlanningEnded());
        }
        if (!active) {
            return;
        }
        if (!servers.equals(orderable)) {
            orderable = servers;
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
            give(order);
        } else if (command instanceof PlacementCommand.RequestReport ask) {
            ask(ask);
        } else if (command instanceof PlacementCommand.AnnounceReplica replica) {
            notices.replica(replica);
        } else if (command instanceof PlacementCommand.AnnounceExpectation expectation) {
            notices.expectation(expectation);
        }
    }

    private void give(PlacementCommand.GiveOrder order) {
        executor.give(order)
                .whenCompleteAsync(
                        (result, failure) ->
                                post(
                                        new PlacementEvent.OrderAnswered(
                                                order.server(), order.startedMillis(), result)),
                        loop);
    }

    private void ask(PlacementCommand.RequestReport ask) {
        Optional<InetSocketAddress> address = Addresses.parse(ask.address());
        if (address.isEmpty()) {
            return;
        }
        engines.report(ask.server(), address.get())
                .whenCompleteAsync(
                        (report, failure) -> {
                            if (failure != null) {
                                post(
                                        new PlacementEvent.ReportFailed(
                                                ask.server(), ask.startedMillis()));
                            } else {
                                post(
                                        new PlacementEvent.ReportReceived(
                                                ask.server(), ask.startedMillis(), report));
                            }
                        },
                        loop);
    }
}
