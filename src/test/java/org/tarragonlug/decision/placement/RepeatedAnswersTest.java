package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.ModelCatalog;
import org.tarragonlug.decision.forwarding.ModelSpecification;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** The answers that a planning round keeps, against answers computed anew after each change. */
class RepeatedAnswersTest {
    private static final int SERVERS = 12;
    private static final int MODELS = 14;
    private static final int ROUNDS = 40;
    private static final int CHANGES = 20;
    private static final ServiceName SERVICE = new ServiceName("engines");

    private final PlanContext context =
            new PlanContext(new WeightStoreLimit(Duration.ofSeconds(5)));
    private final Instant now = Instant.ofEpochSecond(1000);
    private final Map<PlannedServer, Instant> plannedLoads = new HashMap<>();
    private final Set<String> waitedFor = new HashSet<>();
    private Random random;
    private ModelCatalog catalog;

    /** What a round asks. */
    private final class Answers {
        private final PlacementView view = new PlacementView(SERVICE, catalog, context.orders);
        private final ReplicaPolicy policy = new ReplicaPolicy(view, context, SERVICE, now);
        private final ReadyTimeEstimator readyTimes =
                new ReadyTimeEstimator(view, policy, context, now);

        Answers() {
            waitedFor.forEach(policy::markWaitedFor);
            plannedLoads.forEach(readyTimes::planLoad);
        }

        List<String> all() {
            List<String> answers = new ArrayList<>();
            answers.add("loads from the store: " + view.remoteLoads());
            for (int number = 0; number < MODELS; number++) {
                String model = "m" + number;
                if (view.serversPreparing(model).size() < 2) {
                    // With several, the estimate is that of any of them.
                    answers.add(model + " ready: " + readyTimes.earliestReady(model));
                }
                for (PlannedServer server : view.servers()) {
                    String pair = model + " on " + server.id();
                    answers.add(pair + " victim: " + policy.victim(server, model));
                    answers.add(pair + " ready: " + readyTimes.readyAt(server, model));
                    answers.add(pair + " load: " + readyTimes.loadTime(server, model));
                }
            }
            return answers;
        }
    }

    private String model() {
        return "m" + random.nextInt(MODELS);
    }

    private Set<String> someModels(int most) {
        Set<String> models = new HashSet<>();
        for (int count = random.nextInt(most + 1); count > 0; count--) {
            models.add(model());
        }
        return models;
    }

    private ModelCatalog newCatalog() {
        Map<String, ModelSpecification> models = new LinkedHashMap<>();
        for (int number = 0; number < MODELS; number++) {
            models.put(
                    "m" + number,
                    new ModelSpecification(
                            "m" + number,
                            30 + 10 * random.nextInt(5),
                            Duration.ofMillis(6000 + number),
                            Duration.ofMillis(300 + number),
                            Duration.ofMillis(1000 + number),
                            random.nextInt(2),
                            0.1));
        }
        return new ModelCatalog(models, 200, 8, 4);
    }

    private ServerListing listing(int number) {
        Map<String, Set<String>> models = new HashMap<>();
        someModels(4).forEach(model -> models.put(model, Set.of()));
        return new ServerListing(
                new ServerId("s" + number),
                SERVICE,
                "10.0.0.1:1",
                new FailureDomain("home"),
                8,
                ListedState.READY,
                random.nextInt(1_000_000),
                models,
                someModels(3),
                someModels(8));
    }

    private void newState() {
        plannedLoads.clear();
        waitedFor.clear();
        waitedFor.addAll(someModels(10));
        for (int number = 0; number < SERVERS; number++) {
            context.orders.onServerListed(listing(number), now);
        }
        for (PlannedServer server : context.orders.servers()) {
            server.orderable = random.nextInt(8) > 0;
            server.needsReport = random.nextInt(8) == 0;
        }
        for (String model : someModels(20)) {
            context.demand.addReport(
                    new InstanceId("i1"),
                    new ModelDemand(
                            SERVICE,
                            new ModelKey(model, ""),
                            random.nextInt(9),
                            0,
                            0,
                            Duration.ZERO,
                            Duration.ZERO),
                    now);
        }
    }

    /** Makes one of the changes that a round makes. */
    private void change(Answers kept) {
        List<PlannedServer> servers = kept.view.servers();
        PlannedServer server = servers.get(random.nextInt(servers.size()));
        if (random.nextInt(3) == 0) {
            Instant end = now.plusMillis(random.nextInt(9000));
            plannedLoads.put(server, end);
            kept.readyTimes.planLoad(server, end);
            return;
        }
        if (server.order == null && random.nextBoolean()) {
            List<String> held = List.copyOf(server.models().keySet());
            boolean unloads = !held.isEmpty() && random.nextBoolean();
            String model = unloads ? held.get(random.nextInt(held.size())) : model();
            OrderAction action = unloads ? OrderAction.UNLOAD : OrderAction.LOAD;
            context.orders.giveOrder(server, action, new ModelKey(model, ""), "test", now);
        }
        server.reservedFor = random.nextBoolean() ? model() : null;
        kept.view.refresh(server);
    }

    /** Compares the answers one by one, since a message with all of them could not be read. */
    private static void assertEqual(List<String> anew, List<String> kept) {
        assertEquals(anew.size(), kept.size());
        for (int number = 0; number < anew.size(); number++) {
            assertEquals(anew.get(number), kept.get(number));
        }
    }

    // Guards against decisions on an answer that an order, a reservation or a planned load of the
    // same round has made wrong.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keptAnswersEqualThoseComputedAnew(long seed) {
        random = new Random(seed);
        catalog = newCatalog();
        context.firstDemand.put(SERVICE, now.minusSeconds(60));
        for (int round = 0; round < ROUNDS; round++) {
            newState();
            Answers kept = new Answers();
            for (int change = 0; change < CHANGES; change++) {
                assertEqual(new Answers().all(), kept.all());
                change(kept);
            }
            assertEqual(new Answers().all(), kept.all());
        }
    }
}
