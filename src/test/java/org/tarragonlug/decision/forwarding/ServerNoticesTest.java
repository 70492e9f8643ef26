package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;

/** What servers say with their answers, and which requests still reach them. */
class ServerNoticesTest {
    private static final ServerId ONE = new ServerId("one");
    private static final Duration PAUSE = Duration.ofSeconds(5);

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();
    private final List<ForwardingCommand.Send> sends = new ArrayList<>();

    private List<ForwardingCommand> track(List<ForwardingCommand> commands) {
        for (ForwardingCommand each : commands) {
            if (each instanceof ForwardingCommand.Send send) {
                sends.add(send);
            }
        }
        return commands;
    }

    /** Sends a request that the server answers, or rejects, with a notice. */
    private List<ForwardingCommand> answerWith(ServerNotice notice, String path, String model) {
        track(fixture.arrive(path, model));
        long key = sends.get(sends.size() - 1).request();
        sends.clear();
        fixture.handle(new ForwardingEvent.ServerNoticed(fixture.attempt(key), notice));
        return track(
                notice.pause().isPresent()
                        ? fixture.handle(
                                new ForwardingEvent.Rejected(
                                        fixture.attempt(key), Rejection.BUSY, Optional.empty()))
                        : fixture.handle(
                                new ForwardingEvent.Answered(
                                        fixture.attempt(key), 200, Optional.empty())));
    }

    private void listSecond() {
        ServerListing second = fixture.listing("two", ENGINES, "m");
        track(fixture.handle(new ForwardingEvent.ServerListed(second)));
    }

    private static ServerNotice pause() {
        return new ServerNotice(false, Optional.of(PAUSE));
    }

    /** Lets requests arrive for a while and returns how many were sent to server one. */
    private long sentToFirst(Duration time, String path, String model) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(time) < 0;
                passed = passed.plusMillis(100)) {
            track(fixture.arrive(path, model));
            track(fixture.advance(Duration.ofMillis(100)));
        }
        return sends.stream().filter(send -> send.server().equals(ONE)).count();
    }

    // Guards against a line in the log for each answer of a server that leaves or is in trouble.
    @Test
    void onlyNewsOfARunIsReported() {
        fixture.withServer("one", RECORDS);
        List<ServerNotice> reported = new ArrayList<>();
        ServerNotice odd =
                new ServerNotice(false, Optional.empty(), Set.of(NoticeFault.PAUSE_UNREADABLE));
        ServerNotice leaving = new ServerNotice(true, Optional.empty());
        for (int number = 0; number < 6; number++) {
            track(fixture.arrive("/read/1", ""));
        }
        for (int number = 0; number < 6; number++) {
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ServerNoticed(
                                    fixture.attempt(sends.get(number).request()),
                                    number % 2 == 0 ? odd : leaving));
            ForwardingFixture.find(commands, ForwardingCommand.ReportNotice.class)
                    .ifPresent(report -> reported.add(report.notice()));
        }
        assertEquals(List.of(odd, leaving), reported);
    }

    /** The ways of a request: plain or with a model, repeatable or not. */
    @Nested
    class Leaving {
        private static final ServerNotice LEAVING = new ServerNotice(true, Optional.empty());

        // Guards against requests to a server that has said that it leaves, while it is listed as
        // ready.
        @ParameterizedTest
        @CsvSource({"/issue/1, ''", "/read/1, ''", "/ask/1, m", "/score/1, m"})
        void leavingServerGetsNoFurtherRequests(String path, String model) {
            fixture.withServer("one", model.isEmpty() ? RECORDS : ENGINES, "m");
            answerWith(LEAVING, path, model);
            fixture.withServer("two", model.isEmpty() ? RECORDS : ENGINES, "m");
            assertEquals(0, sentToFirst(Duration.ofSeconds(8), path, model));
            assertTrue(sends.size() > 50, "sends to the other server: " + sends.size());
        }

        // Guards against a notice that is forgotten when the listing disappears and comes back, as
        // in an outage of the store, or when the planner announces a model on the server.
        @Test
        void noticeOutlivesTheListing() {
            fixture.withServer("one", ENGINES, "m");
            answerWith(LEAVING, "/ask/1", "m");
            fixture.handle(new ForwardingEvent.ServerUnlisted(ONE));
            fixture.withServer("one", ENGINES, "m");
            fixture.handle(
                    new ForwardingEvent.ReplicaAnnounced(
                            ONE, ModelKey.parse("m"), true, fixture.now.plusSeconds(5)));
            assertEquals(0, sentToFirst(Duration.ofSeconds(3), "/ask/1", "m"));
        }

        // Guards against a server that is never used again after it has started anew.
        @Test
        void nextRunOfTheServerIsUsed() {
            fixture.withServer("one", ENGINES, "m");
            answerWith(LEAVING, "/ask/1", "m");
            ServerListing before = fixture.listing("one", ENGINES, "m");
            fixture.handle(
                    new ForwardingEvent.ServerListed(
                            new ServerListing(
                                    ONE,
                                    ENGINES,
                                    before.address(),
                                    before.failureDomain(),
                                    8,
                                    ListedState.READY,
                                    before.startedMillis() + 1,
                                    before.models(),
                                    Set.of(),
                                    Set.of())));
            assertTrue(sentToFirst(Duration.ofSeconds(1), "/ask/1", "m") > 0);
        }

        // Guards against a stream that is resumed at a server that has said that it leaves.
        @Test
        void brokenStreamGoesOnElsewhere() {
            fixture.withServer("one", ENGINES, "m");
            track(fixture.arrive("/ask/1", "m"));
            long key = sends.get(0).request();
            fixture.handle(new ForwardingEvent.ServerNoticed(fixture.attempt(key), LEAVING));
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(key), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), 1));
            track(
                    fixture.handle(
                            new ForwardingEvent.ConnectionBroken(
                                    fixture.attempt(key), AnswerProgress.CONTENT)));
            track(fixture.advance(Duration.ofSeconds(1)));
            assertEquals(1, sends.size());
            listSecond();
            assertEquals(new ServerId("two"), sends.get(1).server());
        }
    }

    @Nested
    class Pauses {
        // Guards against requests to a server that wants none, and against a server that is left
        // alone for longer than it asked for.
        @ParameterizedTest
        @CsvSource({"/issue/1, ''", "/read/1, ''", "/ask/1, m", "/score/1, m"})
        void pausedServerGetsRequestsAgainWhenThePauseIsOver(String path, String model) {
            fixture.withServer("one", model.isEmpty() ? RECORDS : ENGINES, "m");
            fixture.withServer("two", model.isEmpty() ? RECORDS : ENGINES, "m");
            while (sends.isEmpty() || !sends.get(sends.size() - 1).server().equals(ONE)) {
                track(fixture.arrive(path, model));
            }
            long key = sends.get(sends.size() - 1).request();
            sends.clear();
            fixture.handle(new ForwardingEvent.ServerNoticed(fixture.attempt(key), pause()));
            track(
                    fixture.handle(
                            new ForwardingEvent.Rejected(
                                    fixture.attempt(key), Rejection.BUSY, Optional.empty())));
            assertEquals(0, sentToFirst(PAUSE.minusMillis(100), path, model));
            assertTrue(sends.size() >= 49, "sends to the other server: " + sends.size());
            assertTrue(sentToFirst(Duration.ofSeconds(2), path, model) > 0);
        }

        // Guards against requests that wait in vain although it is known that no server takes them,
        // and against callers that come back before one does.
        @ParameterizedTest
        @CsvSource({"/issue/1, ''", "/read/1, ''", "/ask/1, m"})
        void requestIsRefusedAtOnceIfAllServersWantAPauseThatIsTooLong(String path, String model) {
            fixture.withServer("one", model.isEmpty() ? RECORDS : ENGINES, "m");
            List<ForwardingCommand> turnedAway = answerWith(pause(), path, model);
            List<ForwardingCommand> next = fixture.arrive(path, model);
            for (List<ForwardingCommand> commands : List.of(turnedAway, next)) {
                ForwardingCommand.Refuse refusal =
                        ForwardingFixture.find(commands, ForwardingCommand.Refuse.class)
                                .orElseThrow();
                Duration retryAfter = refusal.retryAfter().orElseThrow();
                assertTrue(retryAfter.compareTo(PAUSE) >= 0, "too early: " + retryAfter);
                assertTrue(retryAfter.compareTo(PAUSE.plusSeconds(1)) < 0, "late: " + retryAfter);
            }
        }

        // Guards against callers who are all told to come back in the same moment, before the
        // server takes requests again or just when it does.
        @Test
        void refusedCallersReturnOneAfterAnother() {
            fixture.withServer("one", RECORDS);
            answerWith(pause(), "/read/1", "");
            int[] returningByStep = new int[4];
            for (int number = 0; number < 100; number++) {
                Duration retryAfter =
                        ForwardingFixture.find(
                                        fixture.arrive("/read/1", ""),
                                        ForwardingCommand.Refuse.class)
                                .orElseThrow()
                                .retryAfter()
                                .orElseThrow();
                returningByStep[(int) retryAfter.minus(PAUSE).toMillis() / 250]++;
            }
            for (int returning : returningByStep) {
                assertTrue(returning >= 10, "callers: " + returning);
            }
        }

        // Guards against a refusal of requests that can be served when a short pause is over.
        @Test
        void requestWaitsForTheEndOfAShortPause() {
            fixture.withServer("one", ENGINES, "m");
            Duration shortPause = Duration.ofMillis(500);
            answerWith(new ServerNotice(false, Optional.of(shortPause)), "/ask/1", "m");
            track(fixture.advance(shortPause));
            assertEquals(1, sends.size());
        }

        // Guards against a shorter pause that ends a longer one.
        @Test
        void longestPauseCounts() {
            fixture.withServer("one", RECORDS);
            track(fixture.arrive("/issue/1", ""));
            track(fixture.arrive("/issue/1", ""));
            for (int number = 0; number < 2; number++) {
                Duration pause = PAUSE.minusSeconds(2 * number);
                fixture.handle(
                        new ForwardingEvent.ServerNoticed(
                                fixture.attempt(sends.get(number).request()),
                                new ServerNotice(false, Optional.of(pause))));
            }
            sends.clear();
            assertEquals(0, sentToFirst(PAUSE.minusMillis(100), "/issue/1", ""));
        }

        // Guards against requests that wait for a model although only its server's pause is known.
        @Test
        void requestWaitsIfAnotherServerIsExpectedToHoldTheModelSooner() {
            fixture.withServer("one", ENGINES, "m");
            fixture.handle(
                    new ForwardingEvent.ModelReadyExpected(
                            ENGINES, ModelKey.parse("m"), fixture.now.plusMillis(600)));
            answerWith(pause(), "/ask/1", "m");
            fixture.arrive("/ask/1", "m");
            track(fixture.advance(Duration.ofMillis(500)));
            listSecond();
            assertEquals(2, sends.size());
        }

        // Guards against all waiting requests reaching a server in the moment in which its pause
        // ends, which would fill it again.
        @Test
        void requestsReturnGraduallyAfterAPause() {
            fixture.withServer("one", ENGINES, "m");
            Duration shortPause = Duration.ofMillis(500);
            answerWith(new ServerNotice(false, Optional.of(shortPause)), "/ask/1", "m");
            for (int number = 0; number < 40; number++) {
                track(fixture.arrive("/ask/1", "m"));
            }
            List<Integer> sent = new ArrayList<>();
            track(fixture.advance(shortPause));
            for (int step = 0; step < 5; step++) {
                sent.add(sends.size());
                track(fixture.advance(Duration.ofMillis(260)));
            }
            assertEquals(List.of(2, 4, 8, 16, 41), sent);
        }

        // Guards against a limit after a pause that keeps requests away although the server ends
        // them quickly.
        @Test
        void serverThatAnswersQuicklyIsUsedAtOnceAfterAPause() {
            fixture.withServer("one", RECORDS);
            answerWith(new ServerNotice(false, Optional.of(PAUSE)), "/read/1", "");
            fixture.advance(PAUSE);
            for (int number = 0; number < 20; number++) {
                track(fixture.arrive("/read/1", ""));
                assertEquals(number + 1, sends.size());
                long key = sends.get(number).request();
                fixture.handle(
                        new ForwardingEvent.Answered(fixture.attempt(key), 200, Optional.empty()));
            }
        }
    }
}
