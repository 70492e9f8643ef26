package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
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
 * The places for adapters of a server, as far as the planner knows them: what other planners have
 * done since its last turn, and unloads that wait for requests.
 */
class AdapterPlacesTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ServerId SERVER = new ServerId("server");
    private static final Duration STEP = Duration.ofMillis(20);
    private static final long STARTED = 1;
    private static final int PLACES = 2;
    private static final ModelKey WANTED = new ModelKey("model", "wanted");

    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final List<PlacementCommand.GiveOrder> orders = new ArrayList<>();
    private int reportRequests;
    private Instant now = Instant.ofEpochSecond(1000);

    @BeforeEach
    void start() {
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
                new ModelCatalog(new LinkedHashMap<>(Map.of("model", model)), 200, PLACES, 4);
        ForwardingService service = new ForwardingService(SERVICE, Optional.of(catalog), 100);
        post(
                new PlacementEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(1), List.of(), List.of(service))));
        list("a", "b");
        beginTurn();
        report(5, "a", "b");
    }

    private void list(String... adapters) {
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
                                Map.of("model", Set.of(adapters)),
                                Set.of(),
                                Set.of())));
    }

    private void beginTurn() {
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(Set.of(SERVER)));
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                orders.add(order);
            } else if (command instanceof PlacementCommand.RequestReport) {
                reportRequests++;
            }
        }
    }

    private void report(long orderCount, String... adapters) {
        ServerReport report =
                new ServerReport(Map.of("model", Set.of(adapters)), false, orderCount);
        post(new PlacementEvent.ReportReceived(SERVER, STARTED, report));
    }

    private void answerLast(OrderResult result) {
        post(new PlacementEvent.OrderAnswered(SERVER, STARTED, last(), result));
    }

    private PlannedOrder last() {
        return orders.get(orders.size() - 1).order();
    }

    /** Lets time pass while requests wait for an adapter. */
    private void run(Duration time, ModelKey waitedFor) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            ModelDemand demand =
                    new ModelDemand(
                            SERVICE,
                            waitedFor,
                            0,
                            1,
                            0,
                            Duration.ofSeconds(3),
                            Duration.ofSeconds(12));
            post(new PlacementEvent.DemandReported(new InstanceId("reporter"), List.of(demand)));
            post(new PlacementEvent.Tick());
        }
    }

    private void orderUnload() {
        run(STEP, WANTED);
        assertEquals(OrderAction.UNLOAD, last().action());
    }

    @Nested
    class Turns {
        // Guards against one adapter more than a server holds: one that this planner had unloaded
        // in an earlier turn was loaded again by another one, and was left out of the report.
        @Test
        void adapterThatAnotherPlannerLoadedAgainTakesItsPlace() {
            orderUnload();
            answerLast(OrderResult.ALREADY_DONE);
            post(new PlacementEvent.PlanningEnded());
            now = now.plusSeconds(1);
            beginTurn();
            report(8, "a", "b");
            run(STEP, WANTED);
            assertEquals(OrderAction.UNLOAD, last().action());
        }

        // Guards against one adapter more than a server holds: a listing that was written before a
        // report replaced what the report shows.
        @Test
        void listingFromBeforeReportFreesNoPlace() {
            list("a");
            run(STEP, WANTED);
            assertEquals(OrderAction.UNLOAD, last().action());
        }

        // Guards against an adapter that is never loaded again: this planner had loaded it in an
        // earlier turn, and another one has unloaded it since.
        @Test
        void adapterThatAnotherPlannerUnloadedIsLoadedAgain() {
            report(6, "a");
            run(STEP, WANTED);
            assertEquals(OrderAction.LOAD, last().action());
            answerLast(OrderResult.ACCEPTED);
            run(STEP, WANTED);
            post(new PlacementEvent.PlanningEnded());
            now = now.plusSeconds(1);
            beginTurn();
            report(9, "a");
            int before = orders.size();
            run(STEP, WANTED);
            assertEquals(before + 1, orders.size());
            assertEquals(WANTED, last().key());
        }
    }

    @Nested
    class Unloads {
        // Guards against one adapter more than a server holds: an unload that waits for requests
        // counted as done when the server had accepted it.
        @Test
        void placeIsTakenUntilReportShowsItFree() {
            orderUnload();
            String unloaded = last().key().adapter();
            String other = unloaded.equals("a") ? "b" : "a";
            answerLast(OrderResult.ACCEPTED);
            int before = orders.size();
            for (int count = 0; count < 10; count++) {
                run(Duration.ofMillis(500), WANTED);
                report(6, "a", "b");
            }
            assertEquals(before, orders.size());
            report(6, other);
            run(STEP, WANTED);
            assertEquals(OrderAction.LOAD, last().action());
            assertEquals(WANTED, last().key());
        }

        // Guards against a place that stays taken for good after an unload that had to wait.
        @Test
        void reportsAreRequestedWhileUnloadWaits() {
            orderUnload();
            answerLast(OrderResult.ACCEPTED);
            int before = reportRequests;
            run(Duration.ofSeconds(2), WANTED);
            assertTrue(reportRequests - before >= 2, "requests: " + (reportRequests - before));
        }

        // Guards against a wait for a report after an unload that the server has done at once.
        @Test
        void placeIsFreeAtOnceIfServerHasUnloadedAdapter() {
            orderUnload();
            answerLast(OrderResult.ALREADY_DONE);
            run(STEP, WANTED);
            assertEquals(OrderAction.LOAD, last().action());
            assertEquals(WANTED, last().key());
        }
    }
}
