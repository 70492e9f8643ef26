package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

/** A busy model on two of six servers; all servers have a copy on disk and room for it. */
class UnevenServersTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final Duration STEP = Duration.ofMillis(20);
    private static final int SERVERS = 6;
    private static final int SLOTS = 12;

    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final Map<ServerId, Set<String>> held = new LinkedHashMap<>();
    private final Set<ServerId> loading = new LinkedHashSet<>();
    private Instant now = Instant.ofEpochSecond(1000);

    UnevenServersTest() {
        ModelSpecification model =
                new ModelSpecification(
                        "m",
                        90,
                        Duration.ofSeconds(6),
                        Duration.ofMillis(300),
                        Duration.ofSeconds(1),
                        0,
                        0.1);
        ModelCatalog catalog = new ModelCatalog(Map.of("m", model), 200, 8, 4);
        post(
                new PlacementEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(1),
                                List.of(),
                                List.of(
                                        new ForwardingService(
                                                SERVICE, Optional.of(catalog), 100)))));
        for (int number = 0; number < SERVERS; number++) {
            held.put(id(number), number < 2 ? Set.of("m") : Set.of());
            post(new PlacementEvent.ServerListed(listing(id(number))));
        }
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(held.keySet()));
    }

    private static ServerId id(int number) {
        return new ServerId("server-" + number);
    }

    private ServerListing listing(ServerId id) {
        Map<String, Set<String>> models = new HashMap<>();
        held.get(id).forEach(model -> models.put(model, Set.of()));
        return new ServerListing(
                id,
                SERVICE,
                "10.0.0.1:1",
                new FailureDomain("home"),
                SLOTS,
                ListedState.READY,
                1,
                models,
                Set.of(),
                Set.of("m"));
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                if (order.order().action() == OrderAction.LOAD) {
                    loading.add(order.server());
                }
                answer(order);
            } else if (command instanceof PlacementCommand.RequestReport request) {
                Map<String, Set<String>> models = new HashMap<>();
                held.get(request.server()).forEach(model -> models.put(model, Set.of()));
                planner.handle(
                        new PlacementEvent.ReportReceived(
                                request.server(), 1, new ServerReport(models, false, 0)),
                        now);
            }
        }
    }

    private void answer(PlacementCommand.GiveOrder order) {
        planner.handle(
                new PlacementEvent.OrderAnswered(
                        order.server(), order.startedMillis(), order.order(), OrderResult.ACCEPTED),
                now);
    }

    /** Lets the model receive requests for some seconds. */
    private void run(int seconds, int requestsPerSecond, Map<ServerId, Integer> paces) {
        Instant end = now.plusSeconds(seconds);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            if (now.toEpochMilli() % 1000 < STEP.toMillis()) {
                report(requestsPerSecond);
                post(new PlacementEvent.PacesLearnt(paces));
            }
            post(new PlacementEvent.Tick());
        }
    }

    private void report(int arrivals) {
        ModelDemand demand =
                new ModelDemand(
                        SERVICE,
                        new ModelKey("m", ""),
                        arrivals,
                        0,
                        0,
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(12));
        post(new PlacementEvent.DemandReported(new InstanceId("reporter"), List.of(demand)));
    }

    // Guards against further replicas of a model whose servers are as fast as usual.
    @Test
    void replicasOnUsualServersSuffice() {
        run(8, 6, Map.of());
        assertEquals(Set.of(), loading);
    }

    // Guards against a busy model all of whose requests meet slow servers.
    @Test
    void busyModelOnSlowServersIsLoadedOnAnotherOne() {
        run(8, 6, Map.of(id(0), 180, id(1), 180, id(2), 180, id(3), 180));
        assertEquals(1, loading.size(), loading.toString());
        assertTrue(Set.of(id(4), id(5)).containsAll(loading), loading.toString());
    }

    // Guards against replica after replica on slow servers where no other server exists.
    @Test
    void noFurtherReplicaWhereAllServersAreSlow() {
        Map<ServerId, Integer> paces = new HashMap<>();
        held.keySet().forEach(id -> paces.put(id, 150));
        run(8, 6, paces);
        assertEquals(Set.of(), loading);
    }

    // Guards against slow servers that count as much as others for the capacity of a model.
    @Test
    void slowServersNeedMoreReplicas() {
        run(8, 15, Map.of());
        int usual = loading.size();
        loading.clear();
        run(8, 15, Map.of(id(0), 400, id(1), 400));
        assertTrue(loading.size() > 0, "loads at the usual pace " + usual + ", then none");
    }

    // Guards against a pace that outlives the announcement in which it was left out.
    @Test
    void recoveredServersCountInFullAgain() {
        run(2, 1, Map.of(id(0), 180, id(1), 180));
        run(8, 6, Map.of());
        assertEquals(Set.of(), loading);
    }
}
