package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.forwarding.Fleet;
import org.tarragonlug.decision.forwarding.FleetServer;
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
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * Sends orders to backend servers. An order goes directly to the server if this instance holds the
 * lease of the server's group, and otherwise through the holder of that lease.
 *
 * <p>The lease is checked immediately before an order is sent. If a holder does not answer a call,
 * the outcome of the order is {@link OrderResult#UNKNOWN}.
 */
final class OrderExecutor {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    private final Map<OrderGroup, LeaseManager> leaseManagers;
    private final OrderGroups groups;
    private final Fleet fleet;
    private final PlatformEngineClient engines;
    private final InstanceId self;
    private final RelayingObjectApi.PeerChannel channel;
    private final TimerService timers;
    private final java.util.concurrent.Executor loop;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final CallNumbers callNumbers;
    private final Map<Long, CompletableFuture<OrderResult>> pendingCalls = new HashMap<>();

    OrderExecutor(
            Map<OrderGroup, LeaseManager> leaseManagers,
            OrderGroups groups,
            Fleet fleet,
            PlatformEngineClient engines,
            InstanceId self,
            RelayingObjectApi.PeerChannel channel,
            TimerService timers,
            java.util.concurrent.Executor loop,
            EventLog log,
            GatewayMetrics metrics,
            CallNumbers callNumbers) {
        this.leaseManagers = leaseManagers;
        this.groups = groups;
        this.fleet = fleet;
        this.engines = engines;
        this.self = self;
        this.channel = channel;
        this.timers = timers;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.callNumbers = callNumbers;
    }

    /**
     * Executes an order of the planner at this instance.
     *
     * @return the result; {@code NOT_SENT} if no holder may send the order now, {@code UNKNOWN} if
     *     the holder or the server did not answer in time. The stage never fails.
     */
    CompletionStage<OrderResult> execute(PlacementCommand.GiveOrder order) {
        OrderGroup group = groups.groupOf(order.server());
        Optional<InstanceId> holder =
                leaseManagers.get(group).latestRecord().map(LeaseRecord::holder);
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
        long callId = callNumbers.next();
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        pendingCalls.put(callId, result);
        timers.scheduleOnce(ANSWER_TIMEOUT, now -> completeCall(callId, OrderResult.UNKNOWN));
        channel.send(
                holder.get(),
                new GatewayMessage.OrderCall(
                        PeerMessage.FORMAT_VERSION,
                        callId,
                        group,
                        order.server(),
                        order.startedMillis(),
                        order.address(),
                        order.order().action(),
                        order.order().key(),
                        order.order().precondition()));
        return result;
    }

    /** Completes a call to a holder. Does nothing if the call has already ended. */
    void completeCall(long callId, OrderResult result) {
        CompletableFuture<OrderResult> pending = pendingCalls.remove(callId);
        if (pending != null) {
            pending.complete(result);
        }
    }

    /**
     * Sends an order on behalf of a planner at another instance, and sends back the result.
     *
     * <p>A call may arrive late, when the server has started again under its id and counts its
     * orders anew. The number that the order requires may then be reached once more, so an order
     * for an earlier run than the listed one is not sent.
     */
    void onOrderCall(InstanceId from, GatewayMessage.OrderCall call) {
        CompletionStage<OrderResult> sent =
                isForEarlierRun(call)
                        ? CompletableFuture.completedFuture(OrderResult.NOT_SENT)
                        : send(from, call);
        sent.whenCompleteAsync(
                (result, failure) ->
                        channel.send(
                                from,
                                new GatewayMessage.OrderCallAnswer(
                                        PeerMessage.FORMAT_VERSION, call.call(), result)),
                loop);
    }

    private boolean isForEarlierRun(GatewayMessage.OrderCall call) {
        return call.startedMillis() > 0
                && fleet.server(call.server())
                        .map(FleetServer::incarnation)
                        .filter(listed -> listed.startedMillis() > call.startedMillis())
                        .isPresent();
    }

    private CompletionStage<OrderResult> send(InstanceId from, GatewayMessage.OrderCall call) {
        return sendToServer(
                call.group(),
                call.server(),
                call.address(),
                call.action(),
                call.key(),
                call.precondition(),
                "asked_by_" + from);
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
        return engines.sendOrder(
                        server,
                        target.get(),
                        action,
                        key,
                        precondition,
                        self,
                        leaseManager.fence(),
                        () -> leaseManager.mayOrder(timers.now()))
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
