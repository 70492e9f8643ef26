package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.runtime.Hash4jHasher;

/** The pace of servers and its effect on the choice among them. */
class ServerPaceTest {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final FailureDomain HOME = new FailureDomain("home");
    private static final int SERVERS = 6;
    private static final int CHOICES = 600;
    private static final double SMALL_MODEL = 34_000;
    private static final double LARGE_MODEL = 73_000;

    private final Fleet fleet = new Fleet();
    private final ServerSelector selector = new ServerSelector(fleet, HOME, new Hash4jHasher());
    private final Random random = new Random(5);
    private Instant now = Instant.ofEpochSecond(1000);

    ServerPaceTest() {
        for (int number = 0; number < SERVERS; number++) {
            fleet.addOrUpdate(listing(number, 1));
        }
    }

    private static ServerListing listing(int number, long startedMillis) {
        return new ServerListing(
                new ServerId("server-" + number),
                SERVICE,
                "10.0.0.1:" + number,
                HOME,
                8,
                ListedState.READY,
                startedMillis,
                Map.of("m", Set.of()),
                Set.of(),
                Set.of());
    }

    private FleetServer server(int number) {
        return fleet.server(new ServerId("server-" + number)).orElseThrow();
    }

    /** Returns the servers chosen for many requests for a model, or for a plain service. */
    private List<ServerId> choices(boolean forModel) {
        Optional<ModelKey> model = forModel ? Optional.of(new ModelKey("m", "")) : Optional.empty();
        List<ServerId> chosen = new ArrayList<>();
        for (int number = 0; number < CHOICES; number++) {
            chosen.add(
                    selector.choose(
                                    SERVICE,
                                    model,
                                    PromptPrefix.NONE,
                                    Set.of(),
                                    "request-" + number,
                                    now)
                            .orElseThrow()
                            .id());
        }
        return chosen;
    }

    private double shareOf(int number, boolean forModel) {
        ServerId id = server(number).id();
        return (double) choices(forModel).stream().filter(id::equals).count() / CHOICES;
    }

    /** Lets all servers answer for a while; server 0 takes longer than the others by a factor. */
    private void answer(int rounds, double factor, double megabytes) {
        for (int round = 0; round < rounds; round++) {
            now = now.plusMillis(100);
            for (int number = 0; number < SERVERS; number++) {
                double millis = 20 * Math.exp(0.4 * random.nextGaussian());
                fleet.recordAnswerTime(
                        server(number), megabytes, number == 0 ? millis * factor : millis, now);
            }
        }
    }

    /** The pace that a server states with an answer. */
    @Nested
    class Stated {
        // Guards against another choice than before among servers that state no pace.
        @Test
        void usualPaceDoesNotChangeTheChoice() {
            List<ServerId> before = choices(true);
            server(0).recordReportedLoad(new ReportedLoad(0, 0, 8), now);
            server(0).pace().recordStated(100, now);
            assertEquals(before, choices(true));
        }

        // Guards against requests to a server that says that work takes longer there.
        @Test
        void slowServerIsAvoidedWhileTheStatementIsNew() {
            server(0).pace().recordStated(250, now);
            assertEquals(0, shareOf(0, true), 0.01);
            assertEquals(0, shareOf(0, false), 0.01);
        }

        // Guards against an old statement that keeps requests away from a recovered server.
        @Test
        void statementLosesItsWeightWithItsAge() {
            server(0).pace().recordStated(250, now);
            double fresh = server(0).pace().stated(now);
            now = now.plus(ServerPace.STATEMENT_VALIDITY.dividedBy(2));
            assertEquals(2.5, fresh);
            assertEquals(1.75, server(0).pace().stated(now), 1e-9);
            now = now.plus(ServerPace.STATEMENT_VALIDITY.dividedBy(2));
            assertEquals(1, server(0).pace().stated(now));
            assertEquals(1.0 / SERVERS, shareOf(0, true), 0.05);
        }

        // Guards against a statement that is overtaken by one made before it.
        @Test
        void olderStatementDoesNotReplaceNewerOne() {
            server(0).pace().recordStated(250, now);
            server(0).pace().recordStated(100, now.minusMillis(50));
            assertEquals(2.5, server(0).pace().stated(now));
        }

        // Guards against a slow server that is left idle while requests queue at all others.
        @Test
        void slowServerIsChosenWhenTheOthersAreFull() {
            server(0).pace().recordStated(250, now);
            for (int number = 1; number < SERVERS; number++) {
                for (int request = 0; request < 24; request++) {
                    server(number).onRequestSent();
                }
            }
            assertTrue(shareOf(0, true) > 0.9);
        }
    }

    /** The pace that is learnt from answer times. */
    @Nested
    class Learnt {
        // Guards against chance differences of answer times that change the choice.
        @Test
        void equalServersKeepTheUsualPace() {
            int changed = 0;
            for (int round = 0; round < 400; round++) {
                answer(1, 1, 0);
                for (int number = 0; number < SERVERS; number++) {
                    changed += Math.abs(server(number).pace().learnt(now) - 1) > 0.1 ? 1 : 0;
                }
            }
            assertTrue(changed <= 0.02 * 400 * SERVERS, changed + " of " + 400 * SERVERS);
        }

        // Guards against a slow machine that states no pace and receives its full share.
        @Test
        void slowServerIsLearntWithinSeconds() {
            answer(50, 2, 0);
            assertTrue(server(0).pace().learnt(now) > 1.3);
            assertTrue(shareOf(0, false) < 0.05);
        }

        // Guards against a slowdown that is counted twice: as stated, and as learnt from the time.
        @Test
        void lastingStatedSlownessIsCountedOnce() {
            answer(50, 2.5, 0);
            server(0).pace().recordStated(250, now);
            assertEquals(2.5, server(0).pace().combined(1, now), 0.3);
        }

        // Guards against a server that states a lasting slowness and is tried again twice a second.
        @Test
        void lastingSlownessOutlivesTheStatement() {
            answer(50, 2.5, 0);
            server(0).pace().recordStated(250, now);
            now = now.plusSeconds(1);
            assertTrue(server(0).pace().combined(1, now) > 1.5);
        }

        // Guards against a server that counts as slow because its models are larger.
        @Test
        void largerModelsDoNotMakeAServerSlow() {
            for (int round = 0; round < 50; round++) {
                answer(1, 1, SMALL_MODEL);
                fleet.recordAnswerTime(server(0), LARGE_MODEL, 60, now);
                fleet.recordAnswerTime(server(1), LARGE_MODEL, 60, now);
            }
            assertEquals(1, server(0).pace().learnt(now), 0.1);
        }

        // Guards against a server that is never tried again because it was slow once.
        @Test
        void learntPaceExpires() {
            answer(50, 4, 0);
            now = now.plus(Duration.ofSeconds(31));
            assertEquals(1, server(0).pace().learnt(now));
        }

        // Guards against the pace of an ended process that is held against its successor.
        @Test
        void restartedServerHasTheUsualPace() {
            answer(50, 4, 0);
            server(0).pace().recordStated(250, now);
            fleet.addOrUpdate(listing(0, 2));
            assertEquals(1, server(0).pace().learnt(now));
            assertEquals(1, server(0).pace().stated(now));
        }
    }
}
