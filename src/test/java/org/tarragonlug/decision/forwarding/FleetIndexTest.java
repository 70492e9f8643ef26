package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** The index of servers and the narrowed dispatch, against a walk over everything. */
class FleetIndexTest {
    private static final int EVENTS = 20_000;
    private static final int SERVERS = 12;
    private static final int MODELS = 9;
    private static final List<ServiceName> SERVICES =
            List.of(ForwardingFixture.ENGINES, ForwardingFixture.RECORDS);

    private Random random;
    private Instant now = Instant.ofEpochSecond(1000);

    private String model() {
        return "m" + random.nextInt(MODELS);
    }

    private ModelKey key() {
        return new ModelKey(model(), random.nextBoolean() ? "" : "a" + random.nextInt(2));
    }

    private ServerId server() {
        return new ServerId("s" + random.nextInt(SERVERS));
    }

    private ServerListing listing() {
        Map<String, Set<String>> models = new HashMap<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            models.put(model(), random.nextBoolean() ? Set.of() : Set.of("a0"));
        }
        return new ServerListing(
                server(),
                SERVICES.get(random.nextInt(10) == 0 ? 1 : 0),
                "10.0.0.1:1",
                new FailureDomain("home"),
                8,
                random.nextInt(10) == 0 ? ListedState.LEAVING : ListedState.READY,
                random.nextInt(20) == 0 ? 2 : 1,
                models,
                Set.of(),
                Set.of());
    }

    private ForwardingEvent event() {
        return switch (random.nextInt(10)) {
            case 0 -> new ForwardingEvent.ServerUnlisted(server());
            case 1, 2, 3, 4 -> new ForwardingEvent.ServerListed(listing());
            default ->
                    new ForwardingEvent.ReplicaAnnounced(
                            server(),
                            key(),
                            random.nextBoolean(),
                            now.plusMillis(random.nextInt(600)));
        };
    }

    private static Set<ServerId> thatCanRun(
            Collection<FleetServer> servers,
            ServiceName service,
            Optional<ModelKey> model,
            Instant now) {
        return servers.stream()
                .filter(server -> server.canRun(service, model, now))
                .map(FleetServer::id)
                .collect(Collectors.toSet());
    }

    private void assertEqualAnswers(Fleet fleet, Optional<ModelKey> model) {
        for (ServiceName service : SERVICES) {
            List<FleetServer> candidates = fleet.candidates(service, model);
            assertEquals(candidates.size(), new HashSet<>(candidates).size(), "server twice");
            assertEquals(
                    thatCanRun(fleet.servers(), service, model, now),
                    thatCanRun(candidates, service, model, now));
        }
    }

    /** Checks that the index keeps nothing that an earlier listing or notice said of a server. */
    private static void assertIndexedExactly(Fleet fleet, ServerListing listing) {
        FleetServer server = fleet.server(listing.id()).orElseThrow();
        for (int number = 0; number < MODELS; number++) {
            String model = "m" + number;
            boolean indexed =
                    fleet.candidates(listing.service(), Optional.of(new ModelKey(model, "")))
                            .contains(server);
            assertEquals(server.possibleModels().contains(model), indexed, model);
        }
    }

    // Guards against an index that misses a server, keeps a removed one, or grows, in any order of
    // listings, restarts, changes of the service, notices and their expiry.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void indexFindsTheServersThatAWalkFinds(long seed) {
        random = new Random(seed);
        Fleet fleet = new Fleet();
        for (int number = 0; number < EVENTS; number++) {
            now = now.plusMillis(random.nextInt(40));
            ForwardingEvent event = event();
            assertTrue(fleet.apply(event, now));
            if (event instanceof ForwardingEvent.ServerListed listed) {
                assertIndexedExactly(fleet, listed.listing());
            }
            if (random.nextInt(20) == 0) {
                fleet.server(server()).ifPresent(each -> each.markModelAbsent(key(), now));
            }
            assertEqualAnswers(fleet, Optional.of(key()));
            assertEqualAnswers(fleet, Optional.empty());
        }
    }

    // Guards against an event that lets a waiting request run without dispatching it, so that it
    // would wait for the next tick.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void eventsDispatchEveryRequestThatTheyConcern(long seed) {
        random = new Random(seed);
        ForwardingFixture fixture = new ForwardingFixture().withRoutes();
        int sent = 0;
        for (int number = 0; number < EVENTS; number++) {
            now = now.plusMillis(random.nextInt(40));
            fixture.now = now;
            fixture.handle(new ForwardingEvent.Tick());
            if (random.nextInt(3) == 0) {
                fixture.arrive("/ask/1", key().toString());
            }
            ForwardingEvent event =
                    random.nextInt(5) == 0
                            ? new ForwardingEvent.ModelReadyExpected(
                                    ForwardingFixture.ENGINES, key(), inSeconds())
                            : event();
            List<ForwardingCommand> commands = fixture.handle(event);
            sent += answerAll(fixture, commands);
            List<ForwardingCommand> left = fixture.handle(new ForwardingEvent.Tick());
            assertEquals(0, answerAll(fixture, left), "sent only by the tick after " + event);
        }
        assertTrue(sent > EVENTS / 100, "only " + sent + " requests were sent by events");
    }

    private Instant inSeconds() {
        return now.plus(Duration.ofSeconds(random.nextInt(12)));
    }

    /** Answers the requests that were sent; returns how many there were. */
    private static int answerAll(ForwardingFixture fixture, List<ForwardingCommand> commands) {
        int count = 0;
        for (ForwardingCommand command : commands) {
            if (command instanceof ForwardingCommand.Send send) {
                count++;
                fixture.handle(
                        new ForwardingEvent.Answered(
                                fixture.attempt(send.request()), 200, Optional.empty()));
            }
        }
        return count;
    }
}
