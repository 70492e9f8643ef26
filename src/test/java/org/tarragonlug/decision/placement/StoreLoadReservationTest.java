package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Many rare models without any copy are asked for at once, while the weight store serves a few
 * loads at a time and all servers are full of idle models.
 */
class StoreLoadReservationTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final InstanceId REPORTER = new InstanceId("reporter");
    private static final int SERVERS = 8;
    private static final int RARE_MODELS = 12;
    private static final Duration STORE_LOAD = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofMillis(20);

    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private final Set<ServerId> unloading = new HashSet<>();
    private final Set<String> loading = new HashSet<>();
    private final Set<ServerId> ordered = new HashSet<>();
    private Instant now = Instant.ofEpochSecond(1000);

    private static ServerId server(int number) {
        return new ServerId("server-" + number);
    }

    private static String held(int number) {
        return "held-" + number;
    }

    private static String rare(int number) {
        return "rare-" + number;
    }

    private static ModelSpecification model(String name) {
        return new ModelSpecification(
                name, 150, STORE_LOAD, Duration.ofMillis(300), Duration.ofSeconds(1), 0, 0.1);
    }

    private static ForwardingTable table() {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        for (int number = 0; number < SERVERS; number++) {
            models.put(held(number), model(held(number)));
        }
        for (int number = 0; number < RARE_MODELS; number++) {
            models.put(rare(number), model(rare(number)));
        }
        models.put("copied", model("copied"));
        ModelCatalog catalog = new ModelCatalog(models, 200, 8, 50);
        return new ForwardingTable(
                new ConfigurationVersion(1),
                List.of(),
                List.of(new ForwardingService(SERVICE, Optional.of(catalog), 100)));
    }

    private static ServerListing listing(int number, boolean empty) {
        Map<String, Set<String>> models = new HashMap<>();
        if (!empty) {
            models.put(held(number), Set.of());
        }
        return new ServerListing(
                server(number),
                SERVICE,
                "10.0.0.1:" + (1000 + number),
                new FailureDomain("home"),
                16,
                ListedState.READY,
                1,
                models,
                Set.of(),
                Set.of("copied"));
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                record(order);
            }
        }
    }

    private void record(PlacementCommand.GiveOrder order) {
        ordered.add(order.server());
        if (order.order().action() == OrderAction.LOAD) {
            loading.add(order.order().key().model());
        } else {
            unloading.add(order.server());
        }
        planner.handle(
                new PlacementEvent.OrderAnswered(
                        order.server(), order.startedMillis(), OrderResult.ACCEPTED),
                now);
    }

    /** Lets time pass while requests wait for the models. */
    private void run(Duration time, List<String> waitedFor) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            if (now.toEpochMilli() % 1000 < STEP.toMillis()) {
                post(new PlacementEvent.DemandReported(REPORTER, demands(waitedFor)));
            }
            post(new PlacementEvent.Tick());
        }
    }

    private static List<ModelDemand> demands(List<String> waitedFor) {
        List<ModelDemand> demands = new ArrayList<>();
        for (String model : waitedFor) {
            demands.add(
                    new ModelDemand(
                            SERVICE,
                            new ModelKey(model, ""),
                            0,
                            1,
                            0,
                            Duration.ofSeconds(3),
                            Duration.ofSeconds(12)));
        }
        return demands;
    }

    private void start() {
        post(new PlacementEvent.TableInstalled(table()));
        Set<ServerId> all = new HashSet<>();
        for (int number = 0; number < SERVERS; number++) {
            post(new PlacementEvent.ServerListed(listing(number, false)));
            all.add(server(number));
        }
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(all));
        all.forEach(each -> post(report(each)));
        run(Duration.ofSeconds(2), rareModels());
    }

    private static PlacementEvent report(ServerId server) {
        int number = Integer.parseInt(server.value().substring("server-".length()));
        return new PlacementEvent.ReportReceived(
                server, 1, new ServerReport(Map.of(held(number), Set.of()), false, 0));
    }

    private static List<String> rareModels() {
        List<String> models = new ArrayList<>();
        for (int number = 0; number < RARE_MODELS; number++) {
            models.add(rare(number));
        }
        return models;
    }

    /**
     * Guards against servers that give up their models for loads which the weight store cannot
     * serve yet. All servers did so in the same round, and were then kept from other work for
     * minutes.
     */
    @Test
    void onlyAsManyServersMakeRoomAsTheStoreServes() {
        start();
        assertEquals(WeightStoreLimit.INITIAL_PARALLEL_LOADS, unloading.size(), "" + unloading);
    }

    /** Guards against servers that stay reserved and take no part in loads from local copies. */
    @Test
    void otherServersLoadLocalCopiesMeanwhile() {
        start();
        List<String> models = rareModels();
        models.add("copied");
        Set<ServerId> before = new HashSet<>(ordered);
        run(Duration.ofSeconds(2), models);
        ordered.removeAll(before);
        assertTrue(!ordered.isEmpty(), "no further server got an order");
    }
}
