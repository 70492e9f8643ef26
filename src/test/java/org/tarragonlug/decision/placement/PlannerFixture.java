package org.tarragonlug.decision.placement;

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
 * A planner whose servers accept every order and whose loads do not end; the orders are recorded.
 */
final class PlannerFixture {
    static final double CAPACITY_MEGABYTES = 200;
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final InstanceId REPORTER = new InstanceId("reporter");
    private static final Duration STORE_LOAD = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final double STORE_LOADS_PER_SECOND = 50;

    final List<PlacementCommand.GiveOrder> orders = new ArrayList<>();
    private final PlacementPlanner planner = new PlacementPlanner(Duration.ofSeconds(5));
    private Instant now = Instant.ofEpochSecond(1000);

    /** Starts a planner that knows models of equal size. */
    PlannerFixture(List<String> models, double megabytes) {
        Map<String, ModelSpecification> specifications = new LinkedHashMap<>();
        for (String name : models) {
            specifications.put(
                    name,
                    new ModelSpecification(
                            name,
                            megabytes,
                            STORE_LOAD,
                            Duration.ofMillis(300),
                            Duration.ofSeconds(1),
                            0,
                            0.1));
        }
        ModelCatalog catalog =
                new ModelCatalog(specifications, CAPACITY_MEGABYTES, 8, STORE_LOADS_PER_SECOND);
        post(
                new PlacementEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(1),
                                List.of(),
                                List.of(
                                        new ForwardingService(
                                                SERVICE, Optional.of(catalog), 100)))));
        post(new PlacementEvent.PlanningBegun());
    }

    /** Adds servers that each hold one list of models and have copies of others on their disks. */
    void addServers(List<List<String>> held, Set<String> onDisk) {
        Set<ServerId> all = new HashSet<>();
        for (int number = 0; number < held.size(); number++) {
            ServerId id = new ServerId("server-" + number);
            all.add(id);
            Map<String, Set<String>> models = new HashMap<>();
            held.get(number).forEach(model -> models.put(model, Set.of()));
            post(new PlacementEvent.ServerListed(listing(id, number, models, onDisk)));
            post(new PlacementEvent.ReportReceived(id, 1, new ServerReport(models, false, 0)));
        }
        post(new PlacementEvent.OrderableServersChanged(all));
    }

    private static ServerListing listing(
            ServerId id, int number, Map<String, Set<String>> models, Set<String> onDisk) {
        return new ServerListing(
                id,
                SERVICE,
                "10.0.0.1:" + (1000 + number),
                new FailureDomain("home"),
                16,
                ListedState.READY,
                1,
                models,
                Set.of(),
                onDisk);
    }

    private void post(PlacementEvent event) {
        for (PlacementCommand command : planner.handle(event, now)) {
            if (command instanceof PlacementCommand.GiveOrder order) {
                orders.add(order);
                planner.handle(
                        new PlacementEvent.OrderAnswered(
                                order.server(),
                                order.startedMillis(),
                                order.order(),
                                OrderResult.ACCEPTED),
                        now);
            }
        }
    }

    /**
     * Lets time pass while some models get a request a second, and requests wait for others.
     *
     * @param time how long
     * @param requested models that get requests
     * @param waitedFor models that requests wait for
     */
    void run(Duration time, List<String> requested, List<String> waitedFor) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            if (now.toEpochMilli() % 1000 < STEP.toMillis()) {
                List<ModelDemand> demands = new ArrayList<>();
                requested.forEach(model -> demands.add(demand(model, 1, 0)));
                waitedFor.forEach(model -> demands.add(demand(model, 0, 1)));
                post(new PlacementEvent.DemandReported(REPORTER, demands));
            }
            post(new PlacementEvent.Tick());
        }
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

    /** Returns the servers that got orders of a kind. */
    Set<ServerId> orderedServers(OrderAction action) {
        Set<ServerId> servers = new HashSet<>();
        for (PlacementCommand.GiveOrder order : orders) {
            if (order.order().action() == action) {
                servers.add(order.server());
            }
        }
        return servers;
    }
}
