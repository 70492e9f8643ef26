package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.forwarding.ForwardingService;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Answers to orders that arrive when another transmission of the order, or the next order, is under
 * way. An order through a holder may be answered up to 400 ms later and is repeated after 250 ms.
 */
class LateOrderAnswersTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ServerId SERVER = new ServerId("server");
    private static final Duration STEP = Duration.ofMillis(20);
    private static final long STARTED = 1;
    private static final ModelKey FIRST = new ModelKey("model", "first");
    private static final ModelKey SECOND = new ModelKey("model", "second");

    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final List<PlacementCommand.GiveOrder> orders = new ArrayList<>();
    private final Set<ModelKey> announced = new HashSet<>();
    private int reportRequests;
    private Instant now = Instant.ofEpochSecond(1000);

    @BeforeEach
    void start() {
        start(8, Set.of());
    }

    private void start(int adapterSlots, Set<String> heldAdapters) {
        ModelSpecification model =
                new ModelSpecification(
                        "model",
                        90,
                        Duration.ofSeconds(6),
                        Duration.ofMillis(300),
                        Duration.ofSeconds(1),
                        8,
                        0.1);
        ModelCatalog catalog =
                new ModelCatalog(new LinkedHashMap<>(Map.of("model", model)), 200, adapterSlots, 4);
        ForwardingService service = new ForwardingService(SERVICE, Optional.of(catalog), 100);
        post(
                new PlacementEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(1), List.of(), List.of(service))));
        post(
                new PlacementEvent.ServerListed(
                        new ServerListing(
                                SERVER,
                                SERVICE,
                                "10.0.0.1:1",
                                new FailureDomain("home"),
                                16,
                                ListedState.READY,
                                STARTED,
                                Map.of("model", heldAdapters),
                                Set.of(),
                                Set.of())));
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(Set.of(SERVER)));
        report(5);
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                orders.add(order);
            } else if (command instanceof PlacementCommand.RequestReport) {
                reportRequests++;
            } else if (command instanceof PlacementCommand.AnnounceReplica replica) {
                if (replica.held()) {
                    announced.add(replica.key());
                }
            }
        }
    }

    private void report(long orderCount) {
        ServerReport report = new ServerReport(Map.of("model", Set.of()), false, orderCount);
        post(new PlacementEvent.ReportReceived(SERVER, STARTED, report));
    }

    private void answer(PlacementCommand.GiveOrder order, OrderResult result) {
        post(new PlacementEvent.OrderAnswered(SERVER, STARTED, order.order(), result));
    }

    /** Lets time pass while requests wait for the adapters. */
    private void run(Duration time, ModelKey... waitedFor) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            List<ModelDemand> demands = new ArrayList<>();
            for (ModelKey key : waitedFor) {
                demands.add(
                        new ModelDemand(
                                SERVICE,
                                key,
                                0,
                                1,
                                0,
                                Duration.ofSeconds(3),
                                Duration.ofSeconds(12)));
            }
            post(new PlacementEvent.DemandReported(new InstanceId("reporter"), demands));
            post(new PlacementEvent.Tick());
        }
    }

    private PlacementCommand.GiveOrder lastOrder() {
        return orders.get(orders.size() - 1);
    }

    // Guards against an order that never reaches its server: the answer to the order before counts
    // as its acceptance, the adapter as loaded, and all later reports as too old.
    @Test
    void lateAnswerToEarlierOrderDoesNotAcceptTheNextOne() {
        run(STEP, FIRST);
        PlacementCommand.GiveOrder first = lastOrder();
        run(Duration.ofMillis(280), FIRST);
        assertEquals(2, orders.size());
        answer(lastOrder(), OrderResult.NOT_SENT);
        report(6);
        run(STEP, SECOND);
        PlacementCommand.GiveOrder second = lastOrder();
        assertEquals(SECOND, second.order().key());
        answer(first, OrderResult.ACCEPTED);
        run(Duration.ofMillis(300), SECOND);
        assertFalse(announced.contains(SECOND));
        assertEquals(second.order().precondition(), lastOrder().order().precondition());
        assertEquals(4, orders.size());
        answer(lastOrder(), OrderResult.ACCEPTED);
        run(Duration.ofMillis(40), SECOND);
        assertTrue(announced.contains(SECOND));
    }

    // Guards against an accepted order that counts as refused, since a server refuses each further
    // transmission of it.
    @Test
    void answerToRepetitionDoesNotEndAcceptedOrder() {
        run(STEP, FIRST);
        PlacementCommand.GiveOrder first = lastOrder();
        run(Duration.ofMillis(280), FIRST);
        PlacementCommand.GiveOrder repetition = lastOrder();
        answer(first, OrderResult.ACCEPTED);
        answer(repetition, OrderResult.CONFLICT);
        run(Duration.ofMillis(40), FIRST);
        assertTrue(announced.contains(FIRST));
        assertEquals(0, reportRequests);
    }

    // Guards against an adapter that counts as loaded because a report shows that the order to
    // unload it was accepted.
    @Test
    void unloadConfirmedByReportIsNoLoad() {
        ModelKey held = new ModelKey("model", "held");
        start(1, Set.of(held.adapter()));
        ServerReport before = new ServerReport(Map.of("model", Set.of(held.adapter())), false, 5);
        post(new PlacementEvent.ReportReceived(SERVER, STARTED, before));
        run(STEP, FIRST);
        assertEquals(OrderAction.UNLOAD, lastOrder().order().action());
        assertEquals(held, lastOrder().order().key());
        report(6);
        run(Duration.ofMillis(400), FIRST);
        assertFalse(announced.contains(held));
        assertEquals(OrderAction.LOAD, lastOrder().order().action());
        assertEquals(FIRST, lastOrder().order().key());
    }
}
