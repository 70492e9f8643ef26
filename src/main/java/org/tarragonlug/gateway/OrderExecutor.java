package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.ownership.LeaseManager;
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
import org.tarragonlug.platform.PlatformEngineClient;
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

    private final Map<OrderGroup, LeaseManager> leaseManagers;
    private final OrderGroups groups;
    private final PlatformEngineClient engines;
    private final InstanceId self;
    private final RelayingObjectApi.PeerChannel channel;
    private final TimerService timers;
    private final java.util.concurrent.Executor loop;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Map<Long, CompletableFuture<OrderResult>> pendingCalls = new HashMap<>();
    private long lastCallId;

    OrderExecutor(
            Map<OrderGroup, LeaseManager> leaseManagers,
            OrderGroups groups,
            PlatformEngineClient engines,
            InstanceId self,
            RelayingObjectApi.PeerChannel channel,
            TimerService timers,
            java.util.concurrent.Executor loop,
            EventLog log,
            GatewayMetrics metrics) {
        this.leaseManagers = leaseManagers;
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
    CompletionStage<OrderResult> execute(PlacementCommand.GiveOrder order) {
        OrderGroup group = groups.groupOf(order.server());
        Optional<InstanceId> holder = leaseManagers.get(group).latestRecord().map(LeaseRecord::holder);
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(OrderResult.NOT_SENT);
        }
        if (holder.get().equals(self)) {
            return sendToServer(
                    group,
                    order.server(),
                    order.address(),
                    order.order().action(),
                    order.order().key(),
                    order.order().precondition(),
                    order.reason());
        }
        lastCallId++;
        long callId = lastCallId;
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        pendingCalls.put(callId, result);
        timers.scheduleOnce(ANSWER_TIMEOUT, now -> completeCall(callId, OrderResult.UNKNOWN));
        channel.send(
                holder.get(),
                new PeerMessage.OrderCall(
                        PeerMessage.FORMAT_VERSION,
                        callId,
                        group,
                        order.server(),
                        order.address(),
                        order.order().action(),
                        order.order().key(),
                        order.order().precondition()));
        return result;
    }

    /** Takes the answer of a holder. */
    void completeCall(long callId, OrderResult result) {
        CompletableFuture<OrderResult> pending = pendingCalls.remove(callId);
        if (pending != null) {
            pending.complete(result);
        }
    }

    /** Gives an order for a planner at another instance. */
    void onOrderCall(InstanceId from, PeerMessage.OrderCall call) {
        sendToServer(
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

    private CompletionStage<OrderResult> sendToServer(
            OrderGroup group,
            ServerId server,
            String address,
            OrderAction action,
            ModelKey key,
            long precondition,
            String reason) {
        LeaseManager leaseManager = leaseManagers.get(group);
        Optional<InetSocketAddress> target = Addresses.parse(address);
        if (leaseManager == null || target.isEmpty() || !leaseManager.mayOrder(timers.now())) {
            return CompletableFuture.completedFuture(OrderResult.NOT_SENT);
        }
        log.event(LogEvent.ORDER_SENT)
                .with("server", server)
                .with("action", action)
                .with("model", key)
                .with("precondition", precondition)
                .with("group", group)
                .with("fence", leaseManager.fence())
                .with("reason", reason)
                .write();
        return engines.sendOrder(server, target.get(), action, key, precondition, self, leaseManager.fence())
                .whenCompleteAsync(
                        (result, failure) -> {
                            metrics.recordOrder(
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
