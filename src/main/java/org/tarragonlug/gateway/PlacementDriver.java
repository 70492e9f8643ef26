package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.tarragonlug.decision.ownership.LeaseKeeper;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.platform.EngineCalls;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Carries out the orders of the planner while this instance may give orders.
 *
 * <p>The lease is checked right before each order is sent. An order that is not sent for lack of
 * the lease stays unanswered; the planner gives it again or forgets it with the ownership.
 */
final class PlacementDriver {
    private final PlacementPlanner planner;
    private final LeaseKeeper keeper;
    private final EngineCalls engines;
    private final InstanceId self;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final NoticeListener notices;
    private boolean active;

    /** Receives what instances that wait should know. */
    interface NoticeListener {
        /** A server holds a model. */
        void replica(PlacementCommand.AnnounceReplica replica);

        /** A model is expected. */
        void expectation(PlacementCommand.AnnounceExpectation expectation);
    }

    PlacementDriver(
            PlacementPlanner planner,
            LeaseKeeper keeper,
            EngineCalls engines,
            InstanceId self,
            Executor loop,
            TimerService timers,
            EventLog log,
            GatewayMetrics metrics,
            NoticeListener notices) {
        this.planner = planner;
        this.keeper = keeper;
        this.engines = engines;
        this.self = self;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
        this.notices = notices;
    }

    /** Follows the lease and lets the planner plan. */
    void tick() {
        boolean holding = keeper.holding(timers.now());
        boolean may = keeper.mayOrder(timers.now());
        if (active && !holding) {
            active = false;
            post(new PlacementEvent.OwnershipLost());
        } else if (!active && may) {
            active = true;
            post(new PlacementEvent.OwnershipGained());
        } else if (active && may) {
            post(new PlacementEvent.Tick());
        }
        metrics.holding(may);
    }

    void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, timers.now())) {
            execute(command);
        }
    }

    private void execute(PlacementCommand command) {
        if (command instanceof PlacementCommand.GiveOrder order) {
            give(order);
        } else if (command instanceof PlacementCommand.AskReport ask) {
            ask(ask);
        } else if (command instanceof PlacementCommand.AnnounceReplica replica) {
            notices.replica(replica);
        } else if (command instanceof PlacementCommand.AnnounceExpectation expectation) {
            notices.expectation(expectation);
        }
    }

    private void give(PlacementCommand.GiveOrder order) {
        Optional<InetSocketAddress> address = Addresses.parse(order.address());
        if (address.isEmpty() || !keeper.mayOrder(timers.now())) {
            return;
        }
        log.event(LogEvent.ORDER_SENT)
                .with("server", order.server())
                .with("action", order.order().action())
                .with("model", order.order().key())
                .with("tier", order.order().tier())
                .with("precondition", order.order().precondition())
                .with("fence", keeper.fence())
                .with("reason", order.reason())
                .write();
        engines.order(order.server(), address.get(), order.order(), self, keeper.fence())
                .whenCompleteAsync(
                        (result, failure) -> {
                            String action =
                                    order.order().action().name().toLowerCase(Locale.ROOT);
                            metrics.order(action, result.name().toLowerCase(Locale.ROOT));
                            log.event(LogEvent.ORDER_ENDED)
                                    .with("server", order.server())
                                    .with("action", order.order().action())
                                    .with("model", order.order().key())
                                    .with("result", result)
                                    .write();
                            post(
                                    new PlacementEvent.OrderAnswered(
                                            order.server(), order.startedMillis(), result));
                        },
                        loop);
    }

    private void ask(PlacementCommand.AskReport ask) {
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
                                        new PlacementEvent.Reported(
                                                ask.server(), ask.startedMillis(), report));
                            }
                        },
                        loop);
    }
}
