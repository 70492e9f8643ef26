package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
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

/**
 * A rare model whose only copy lies on a server full of busy models, while the other server is
 * loading another model from the weight store.
 */
class BlockedCopyTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final InstanceId REPORTER = new InstanceId("reporter");
    private static final ServerId FULL = new ServerId("full");
    private static final ServerId LOADING = new ServerId("loading");
    private static final Duration STORE_LOAD = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Set<String> BUSY = Set.of("busy-1", "busy-2");

    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final Map<ModelKey, Instant> expected = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(1000);

    private static ForwardingTable table() {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        for (String model : List.of("busy-1", "busy-2", "loaded", "rare")) {
            models.put(
                    model,
                    new ModelSpecification(
                            model,
                            90,
                            STORE_LOAD,
                            Duration.ofMillis(300),
                            Duration.ofSeconds(1),
                            0,
                            0.1));
        }
        ModelCatalog catalog = new ModelCatalog(models, 200, 8, 4);
        return new ForwardingTable(
                new ConfigurationVersion(1),
                List.of(),
                List.of(new ForwardingService(SERVICE, Optional.of(catalog), 100)));
    }

    private static ServerListing listing(ServerId id, Set<String> models, Set<String> onDisk) {
        Map<String, Set<String>> held = new HashMap<>();
        models.forEach(model -> held.put(model, Set.of()));
        return new ServerListing(
                id,
                SERVICE,
                "10.0.0.1:" + id.value().length(),
                new FailureDomain("home"),
                16,
                ListedState.READY,
                1,
                held,
                Set.of(),
                onDisk);
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                planner.handle(
                        new PlacementEvent.OrderAnswered(
                                order.server(),
                                order.startedMillis(),
                                order.order(),
                                OrderResult.ACCEPTED),
                        now);
            } else if (command instanceof PlacementCommand.AnnounceExpectation expectation) {
                expected.put(expectation.key(), expectation.ready());
            }
        }
    }

    /** Lets time pass while the busy models are requested and requests wait for the others. */
    private void run(Duration time, String... waitedFor) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            if (now.toEpochMilli() % 1000 < STEP.toMillis()) {
                report(waitedFor);
            }
            post(new PlacementEvent.Tick());
        }
    }

    private void report(String... waitedFor) {
        List<ModelDemand> demands = new ArrayList<>();
        BUSY.forEach(model -> demands.add(demand(model, 1, 0)));
        for (String model : waitedFor) {
            demands.add(demand(model, 0, 1));
        }
        post(new PlacementEvent.DemandReported(REPORTER, demands));
    }

    private static ModelDemand demand(String model, int arrivals, int waiting) {
        return new ModelDemand(
                SERVICE,
                new ModelKey(model, ""),
                arrivals,
                waiting,
                0,
                Duration.ofSeconds(3),
                Duration.ofSeconds(12));
    }

    /**
     * Guards against callers who wait for a copy that its server has no room to load. They waited
     * to their end for a model that was always announced as nearly ready.
     */
    @Test
    void copyWithoutRoomIsNotAnnouncedAsNearlyReady() {
        post(new PlacementEvent.TableInstalled(table()));
        post(new PlacementEvent.ServerListed(listing(FULL, BUSY, Set.of("rare"))));
        post(new PlacementEvent.ServerListed(listing(LOADING, Set.of(), Set.of())));
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(Set.of(FULL, LOADING)));
        run(Duration.ofSeconds(4));
        run(Duration.ofSeconds(1), "loaded");
        run(Duration.ofSeconds(1), "loaded", "rare");
        Instant ready = expected.get(new ModelKey("rare", ""));
        assertTrue(
                ready.isAfter(now.plus(STORE_LOAD)), "expected in " + Duration.between(now, ready));
    }
}
