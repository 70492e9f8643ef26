package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.RequestFaults;
import org.tarragonlug.measure.RequestScenario;
import org.tarragonlug.measure.RequestSimulation;
import org.tarragonlug.measure.SimulatedRequest;

/**
 * Guards against lost, duplicate, late, mixed-up and repeated requests when all kinds of faults
 * occur at random and at the same time. The system properties {@code tarragonlug.seed} and {@code
 * tarragonlug.seeds} set the first seed and the number of seeds.
 */
class RequestCoordinatorRandomTest {
    private static final int SEEDS = 200;
    private static final int ARRIVAL_MILLIS = 8_000;
    private static final int RUN_MILLIS = 30_000;
    private static final List<String> MODELS = List.of("m1", "m2", "m3", "m4");
    private static final List<String> PATHS = List.of("/chat", "/chat", "/once", "/read", "/book");

    @Test
    void endsEachRequestOnceInTimeAndTruthfullyUnderRandomFaults() {
        long first = Long.getLong("tarragonlug.seed", 1);
        int answered = 0;
        int total = 0;
        for (long seed = first;
                seed < first + Integer.getInteger("tarragonlug.seeds", SEEDS);
                seed++) {
            RequestChecker checker = run(seed);
            assertEquals(List.of(), checker.violations, "tarragonlug.seed=" + seed);
            total += checker.outcomes.size();
            answered += (int) checker.outcomes.values().stream().filter(o -> o.answered()).count();
        }
        // Without answered requests, the checks of answers would pass without checking anything.
        assertTrue(answered > total / 4, "answered " + answered + " of " + total);
    }

    private static RequestChecker run(long seed) {
        Random random = new Random(seed);
        RequestChecker checker = new RequestChecker(Set.of("/once", "/book"));
        double level = random.nextDouble() * 0.1;
        RequestFaults faults =
                new RequestFaults(
                        random.nextDouble() * level,
                        random.nextDouble() * level,
                        random.nextDouble() * level * 0.1,
                        random.nextDouble() * 0.5,
                        random.nextDouble() * level,
                        random.nextDouble() * level,
                        random.nextInt(1_500),
                        200 + random.nextInt(2_000),
                        500 + random.nextInt(3_000),
                        random.nextBoolean());
        RequestSimulation world =
                new RequestSimulation(
                        RequestScenario.coordinator(new Random(seed), checker),
                        new Random(seed + 1),
                        faults,
                        checker);
        for (int index = 0; index < 3 + random.nextInt(4); index++) {
            ServerId server =
                    world.addServer(
                            RequestSimulation.ENGINES,
                            2 + random.nextInt(6),
                            20 + random.nextInt(30));
            world.setQueueLimit(server, random.nextInt(5));
            world.load(new ArtifactId(MODELS.get(random.nextInt(2)), "1"), server);
        }
        for (int index = 0; index < 2; index++) {
            world.addServer(RequestSimulation.SERVICES, 4, 10);
        }
        world.handle(
                new RequestEvent.ConfigurationChanged(configuration(1, 10 + random.nextInt(40))));
        int requests = 30 + random.nextInt(200);
        for (int index = 0; index < requests; index++) {
            scheduleRequest(world, checker, random, index);
        }
        for (int index = 0; index < random.nextInt(10); index++) {
            int version = index;
            world.time()
                    .afterMillis(
                            random.nextInt(ARRIVAL_MILLIS),
                            () -> injectRandomEvent(world, checker, random, version));
        }
        world.time()
                .afterMillis(
                        random.nextInt(2 * ARRIVAL_MILLIS),
                        () ->
                                world.handle(
                                        new RequestEvent.DrainStarted(
                                                world.time().now().plusSeconds(30))));
        world.time().runUntil(Instant.EPOCH.plusMillis(RUN_MILLIS));
        checker.checkAllEnded();
        if (!checker.drained) {
            checker.violations.add("Drained was not sent");
        }
        return checker;
    }

    private static void scheduleRequest(
            RequestSimulation world, RequestChecker checker, Random random, int index) {
        String path = PATHS.get(random.nextInt(PATHS.size()));
        String model = path.equals("/read") || path.equals("/book") ? "" : pickModel(random);
        Optional<String> key =
                random.nextInt(4) == 0 ? Optional.empty() : Optional.of("key" + random.nextInt(40));
        boolean crashing = random.nextInt(60) == 0;
        String body = crashing ? "crash" + random.nextInt(2) : "body" + random.nextInt(500);
        RequestId id = new RequestId("r" + index);
        SimulatedRequest request =
                new SimulatedRequest(
                        id,
                        RequestScenario.description(
                                path,
                                model,
                                Duration.ofMillis(100 + random.nextInt(10_000)),
                                key,
                                key.filter(k -> !crashing && random.nextInt(9) > 0).orElse(body)),
                        1 + random.nextInt(40),
                        crashing);
        int at = random.nextInt(ARRIVAL_MILLIS);
        world.time().afterMillis(at, () -> world.submit(request));
        if (random.nextInt(12) == 0) {
            Runnable disconnect =
                    () -> {
                        RequestChecker.Outcome outcome = checker.outcomes.get(id);
                        outcome.callerDisconnected = outcome.endCount == 0;
                        world.handle(new RequestEvent.CallerDisconnected(id));
                    };
            world.time().afterMillis(at + 1 + random.nextInt(1_500), disconnect);
        }
    }

    private static void injectRandomEvent(
            RequestSimulation world, RequestChecker checker, Random random, int version) {
        List<ServerId> servers = world.serverIds();
        ServerId server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(8)) {
            case 0 -> world.crash(server);
            case 1 -> world.silenceConnections(server);
            case 2 -> world.breakConnections(server);
            case 3 -> {
                world.setPartitioned(server, true);
                world.time().afterMillis(2_000, () -> world.setPartitioned(server, false));
            }
            case 4 -> {
                boolean engine = server.value().startsWith("engines");
                ServerGroup group = engine ? RequestSimulation.ENGINES : RequestSimulation.SERVICES;
                world.markLeaving(group, server, random.nextInt(1_000));
                checker.leftAt.putIfAbsent(server, world.time().now());
            }
            case 5 -> world.handle(new RequestEvent.FingerprintQuarantined(fingerprint(random)));
            case 6 ->
                    world.handle(
                            new RequestEvent.SuspectsAnnounced(
                                    new ServerId("elsewhere" + random.nextInt(2)),
                                    List.of(fingerprint(random), fingerprint(random))));
            default ->
                    world.handle(
                            new RequestEvent.ConfigurationChanged(
                                    configuration(version, 5 + random.nextInt(50))));
        }
    }

    /**
     * Returns a random fingerprint in the format that the coordinator uses with the scenario's
     * hasher.
     */
    private static Fingerprint fingerprint(Random random) {
        String body =
                random.nextBoolean() ? "key" + random.nextInt(40) : "body" + random.nextInt(500);
        String path = PATHS.get(random.nextInt(PATHS.size()));
        return new Fingerprint(Long.toHexString(path.substring(1).hashCode()) + "-" + body);
    }

    private static String pickModel(Random random) {
        return MODELS.get(random.nextInt(MODELS.size()));
    }

    private static Configuration configuration(int version, int queueLimit) {
        return RequestScenario.configuration(
                version,
                queueLimit,
                MODELS,
                RequestScenario.engineRoute("/chat", true, 1),
                RequestScenario.engineRoute("/once", false, 2),
                RequestScenario.serviceRoute("/read", true),
                RequestScenario.serviceRoute("/book", false));
    }
}
