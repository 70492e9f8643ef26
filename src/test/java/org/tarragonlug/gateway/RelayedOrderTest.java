package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingLimits;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.ownership.LeaseCommand;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.decision.ownership.LeaseManager;
import org.tarragonlug.decision.ownership.OrderGroups;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Hash4jHasher;
import org.tarragonlug.runtime.ManualTimers;

/** Orders of a planner that reach the holder of the order lease, perhaps late. */
class RelayedOrderTest {
    private static final OrderGroup GROUP = new OrderGroup(0);
    private static final ServerId SERVER = new ServerId("e1");
    private static final InstanceId PLANNER = new InstanceId("planner");
    private static final long FIRST_RUN = 1000;
    private static final long SECOND_RUN = 2000;

    /** Completes with the result that the holder sends to the planner. */
    private static final class Channel implements RelayingObjectApi.PeerChannel {
        private CompletableFuture<OrderResult> result = new CompletableFuture<>();

        @Override
        public Optional<InstanceId> relayPeer() {
            return Optional.empty();
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            result.complete(((GatewayMessage.OrderCallAnswer) message).result());
        }

        @Override
        public Optional<WatchSource> watchSource() {
            return Optional.empty();
        }

        @Override
        public boolean isWatchSource() {
            return false;
        }

        @Override
        public void connect(WatchSource source) {}

        @Override
        public void onWatchSourceFailed(WatchSource source) {}
    }

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final ManualTimers timers = new ManualTimers();
    private final ForwardingCoordinator coordinator =
            new ForwardingCoordinator(
                    new FailureDomain("home"),
                    new Hash4jHasher(),
                    new ForwardingLimits(Duration.ofSeconds(10), 0.2, 100, 1));
    private final Channel channel = new Channel();
    private final AtomicInteger orders = new AtomicInteger();
    private final RawServer server =
            new RawServer(
                    number -> {
                        orders.incrementAndGet();
                        return "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII);
                    },
                    true);
    private OrderExecutor holder;

    @BeforeEach
    void start() {
        OrderGroups groups = new OrderGroups(new Hash4jHasher(), 1);
        holder =
                new OrderExecutor(
                        Map.of(GROUP, heldLease()),
                        groups,
                        coordinator.fleet(),
                        new PlatformEngineClient(loopback.connections),
                        new InstanceId("holder"),
                        channel,
                        timers,
                        Runnable::run,
                        new EventLog("test"),
                        new GatewayMetrics(),
                        new CallNumbers(new Random(1)));
        list(FIRST_RUN);
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        loopback.close();
    }

    private LeaseManager heldLease() {
        LeaseManager manager =
                new LeaseManager(
                        new InstanceId("holder"),
                        "holder-1",
                        "10.0.0.1:1",
                        Duration.ofSeconds(3),
                        true);
        Instant now = timers.now();
        manager.handle(new LeaseEvent.Tick(), now.minusSeconds(2));
        manager.handle(new LeaseEvent.Read(Optional.empty()), now.minusSeconds(2));
        LeaseCommand.Write write =
                (LeaseCommand.Write) manager.handle(new LeaseEvent.Tick(), now).get(0);
        manager.handle(new LeaseEvent.Written(write.record(), now), now);
        assertTrue(manager.mayOrder(now));
        return manager;
    }

    private void list(long startedMillis) {
        ServerListing listing =
                new ServerListing(
                        SERVER,
                        new ServiceName("engines"),
                        address(),
                        new FailureDomain("home"),
                        8,
                        ListedState.READY,
                        startedMillis,
                        Map.of(),
                        Set.of(),
                        Set.of());
        coordinator.handle(new ForwardingEvent.ServerListed(listing), timers.now());
    }

    private String address() {
        return "127.0.0.1:" + server.address().getPort();
    }

    private OrderResult order(long startedMillis) throws Exception {
        channel.result = new CompletableFuture<>();
        holder.onOrderCall(
                PLANNER,
                new GatewayMessage.OrderCall(
                        1,
                        7,
                        GROUP,
                        SERVER,
                        startedMillis,
                        address(),
                        OrderAction.LOAD,
                        new ModelKey("m1", ""),
                        0));
        return LoopbackFixture.await(channel.result);
    }

    // Guards against an order for an earlier run of a server, which its next run under the same id
    // carries out, because that has accepted as many orders by then.
    @Test
    void orderForEarlierRunIsNotSent() throws Exception {
        list(SECOND_RUN);
        assertEquals(OrderResult.NOT_SENT, order(FIRST_RUN));
        assertEquals(0, orders.get());
    }

    // Guards against orders that are held back from a run that the holder has not seen listed yet,
    // and from planners that do not state the run.
    @Test
    void orderForPresentOrLaterOrUnstatedRunIsSent() throws Exception {
        assertEquals(OrderResult.ACCEPTED, order(FIRST_RUN));
        assertEquals(OrderResult.ACCEPTED, order(SECOND_RUN));
        assertEquals(OrderResult.ACCEPTED, order(0));
        assertEquals(3, orders.get());
    }
}
