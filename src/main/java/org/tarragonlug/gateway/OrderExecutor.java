package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.ownership.LeaseKeeper;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.decision.ownership.OrderGroups;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.EngineCalls;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Sends orders to backend servers: those of the own leases directly, the others through the holders
 * of their leases.
 *
 * <p>The lease is checked right before an order is sent. A call that a holder does not answer
 * leaves the order's outcome unknown.
 */
final class OrderExecutor {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    private final Map<OrderGroup, LeaseKeeper> keepers;
    private final OrderGroups groups;
    private final EngineCalls engines;
    private final InstanceId self;
    private final RelayingObjectApi.Channel channel;
    private final TimerService timers;
    private final java.util.concurrent.Executor loop;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<Long, CompletableFuture<OrderResult>> calls = new HashMap<>();
    private long lastCall;

    OrderExecutor(
            Map<OrderGroup, LeaseKeeper> keepers,
            OrderGroups groups,
            EngineCalls engines,
            InstanceId self,
            RelayingObjectApi.Channel channel,
            TimerService timers,
            java.util.concurrent.Executor loop,
            EventLog log,
            GatewayMetrics metrics) {
        this.keepers = keepers;
        this.groups = groups;
        this.engines = engines;
        this.self = self;
        this.channel = channel;
        this.timers = timers;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
    }

    /** Gives an order; the stage never fails. */
    CompletionStage<OrderResult> give(PlacementCommand.GiveOrder order) {
        OrderGroup group = groups.of(order.server());
        Optional<InstanceId> holder = keepers.get(group).seen().map(LeaseRecord::holder);
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(OrderResult.NOT_SENT);
        }
        if (holder.get().equals(self)) {
            return send(
                    group,
                    order.server(),
                    order.address(),
                    order.order().action(),
                    order.order().key(),
                    order.order().precondition(),
                    order.reason());
        }
        lastCall++;
        long call = lastCall;
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        calls.put(call, result);
        timers.scheduleOnce(ANSWER_TIMEOUT, now -> answered(call, OrderResult.UNKNOWN));
        channel.send(
                holder.get(),
                new PeerMessage.OrderCall(
                        PeerMessage.FORMAT_VERSION,
                        call,
                        group,
                        order.server(),
                        order.address(),
                        order.order().action(),
                        order.order().key(),
                        order.order().precondition()));
        return result;
    }

    /** Takes the answer of a holder. */
    void answered(long call, OrderResult result) {
        CompletableFuture<OrderResult> waiting = calls.remove(call);
        if (waiting != null) {
            waiting.complete(result);
        }
    }

    /** Gives an order for a planner at another instance. */
    void asked(InstanceId from, PeerMessage.OrderCall call) {
        send(
                        call.group(),
                        call.server(),
                        call.address(),
                        call.action(),
                        call.key(),
                        call.precondition(),
                        "asked_by_" + from)
                .whenCompleteAsync(
                        (result, failure) ->
                                channel.send(
                                        from,
                                        new PeerMessage.OrderCallAnswer(
                                                PeerMessage.FORMAT_VERSION, call.call(), result)),
                        loop);
    }

    private CompletionStage<OrderResult> send(
            OrderGroup group,
            ServerId server,
            String address,
            OrderAction action,
            ModelKey key,
            long precondition,
            String reason) {
        LeaseKeeper keeper = keepers.get(group);
        Optional<InetSocketAddress> target = Addresses.parse(address);
        if (keeper == null || target.isEmpty() || !keeper.mayOrder(timers.now())) {
            return CompletableFuture.completedFuture(OrderResult.NOT_SENT);
        }
        log.event(LogEvent.ORDER_SENT)
                .with("server", server)
                .with("action", action)
                .with("model", key)
                .with("precondition", precondition)
                .with("group", group)
                .with("fence", keeper.fence())
                .with("reason", reason)
                .write();
        return engines.order(server, target.get(), action, key, precondition, self, keeper.fence())
                .whenCompleteAsync(
                        (result, failure) -> {
                            metrics.order(
                                    action.name().toLowerCase(Locale.ROOT),
                                    result.name().toLowerCase(Locale.ROOT));
                            log.event(LogEvent.ORDER_ENDED)
                                    .with("server", server)
                                    .with("action", action)
                                    .with("model", key)
                                    .with("result", result)
                                    .write();
                        },
                        loop);
    }
}
