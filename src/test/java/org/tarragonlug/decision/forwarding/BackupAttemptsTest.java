package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonlug.id.RequestTrait;

/** A request with a silent server and a second attempt, after every event of either attempt. */
class BackupAttemptsTest {
    /** Time after which a silent server of any request counts as stalled. */
    private static final Duration STALL = Duration.ofMillis(1300);

    /** Longer than a refused request is kept from the server that refused it. */
    private static final Duration REFUSAL_PAUSE = Duration.ofMillis(700);

    private static final Duration LONGER_THAN_THE_TIMEOUT = Duration.ofSeconds(7);
    private static final RequestTrait BAD = new RequestTrait(RequestTrait.Kind.PART, "bad");

    private ForwardingFixture fixture = new ForwardingFixture().withRoutes();

    /** How far the answer of the silent server has come. */
    enum Begun {
        NOTHING,
        IN_THE_STREAM
    }

    /** How an attempt ends without a complete answer. */
    enum Loss {
        BUSY(rejected(Rejection.BUSY)),
        MODEL_ABSENT(rejected(Rejection.MODEL_ABSENT)),
        WRONG_SERVER(rejected(Rejection.WRONG_SERVER)),
        UNREACHABLE(rejected(Rejection.UNREACHABLE)),
        NO_OTHER_CONNECTION(rejected(Rejection.NO_OTHER_CONNECTION)),
        WITHDRAWN(rejected(Rejection.WITHDRAWN)),
        AMBIGUOUS(at -> new ForwardingEvent.AnsweredAmbiguously(at, Optional.empty())),
        FAILED(at -> new ForwardingEvent.Answered(at, 500, Optional.empty())),
        BROKEN_BEFORE_ITS_HEAD(broken(AnswerProgress.NOTHING)),
        BROKEN_AFTER_ITS_HEAD(broken(AnswerProgress.HEAD)),
        BROKEN_IN_ITS_CONTENT(broken(AnswerProgress.CONTENT));

        private final Function<ForwardAttempt, ForwardingEvent> event;

        Loss(Function<ForwardAttempt, ForwardingEvent> event) {
            this.event = event;
        }

        private static Function<ForwardAttempt, ForwardingEvent> rejected(Rejection rejection) {
            return at -> new ForwardingEvent.Rejected(at, rejection, Optional.empty());
        }

        private static Function<ForwardAttempt, ForwardingEvent> broken(AnswerProgress progress) {
            return at -> new ForwardingEvent.ConnectionBroken(at, progress);
        }

        /** Tells whether the attempt may have run, so that it counts among those of its route. */
        boolean mayHaveRun() {
            return ordinal() >= AMBIGUOUS.ordinal();
        }

        /** Tells whether the event is reported for an attempt of a stream that has begun. */
        boolean isReported(Begun begun) {
            return begun == Begun.NOTHING || this != AMBIGUOUS && this != FAILED;
        }
    }

    /** The two attempts of a request whose server is silent. */
    private record Attempts(ForwardAttempt primary, ForwardAttempt backup) {}

    static Stream<Arguments> losses() {
        return Stream.of(Begun.values())
                .flatMap(
                        begun ->
                                Stream.of(Loss.values())
                                        .filter(loss -> loss.isReported(begun))
                                        .map(loss -> Arguments.of(begun, loss)));
    }

    private void useServers(String... ids) {
        for (String id : ids) {
            fixture.withServer(id, ENGINES, "m");
        }
    }

    /** Lets streams be sent to three servers. */
    private void allowThreeAttempts() {
        fixture.handle(
                new ForwardingEvent.TableInstalled(
                        ForwardingFixture.table(
                                2,
                                ForwardingFixture.route(
                                        "/ask/", RequestKind.STREAMING, 3, true, ENGINES))));
    }

    private static ForwardAttempt sent(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).orElseThrow().attempt();
    }

    private static boolean sends(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).isPresent();
    }

    private ForwardAttempt silentStream(Begun begun) {
        ForwardAttempt primary = sent(fixture.arrive("/ask/1", "m"));
        if (begun == Begun.IN_THE_STREAM) {
            beginStream(primary);
            relay(primary, 0);
        }
        return primary;
    }

    private Attempts withBackup(Begun begun) {
        ForwardAttempt primary = silentStream(begun);
        List<ForwardingCommand> commands = fixture.advance(STALL);
        assertEquals(List.of(), cancels(commands), "the first attempt stays open");
        Attempts attempts = new Attempts(primary, sent(commands));
        assertNotEquals(primary, attempts.backup());
        assertPrimary(primary);
        assertUnderWay(attempts.backup());
        return attempts;
    }

    private List<ForwardingCommand> beginStream(ForwardAttempt attempt) {
        return fixture.handle(new ForwardingEvent.StreamStarted(attempt, Optional.empty()));
    }

    private List<ForwardingCommand> relay(ForwardAttempt attempt, long id) {
        return fixture.handle(new ForwardingEvent.EventRelayed(attempt, id));
    }

    private List<ForwardingCommand> lose(ForwardAttempt attempt, Loss loss) {
        return fixture.handle(loss.event.apply(attempt));
    }

    private static List<ForwardingCommand> cancels(List<ForwardingCommand> commands) {
        return commands.stream().filter(ForwardingCommand.CancelAttempt.class::isInstance).toList();
    }

    private static ForwardingCommand cancel(ForwardAttempt attempt, CancelReason reason) {
        return new ForwardingCommand.CancelAttempt(attempt, reason);
    }

    private static List<ForwardingCommand> ends(List<ForwardingCommand> commands) {
        return commands.stream()
                .filter(
                        each ->
                                each instanceof ForwardingCommand.RelayAnswer
                                        || each instanceof ForwardingCommand.Fail
                                        || each instanceof ForwardingCommand.Refuse)
                .toList();
    }

    private void assertPrimary(ForwardAttempt attempt) {
        assertTrue(fixture.coordinator.isPrimary(attempt));
    }

    private void assertUnderWay(ForwardAttempt attempt) {
        assertTrue(fixture.coordinator.isUnderWay(attempt));
    }

    private void assertOver(ForwardAttempt attempt) {
        assertFalse(fixture.coordinator.isUnderWay(attempt));
        assertEquals(List.of(new ForwardingCommand.ReportLateEvent(attempt)), relay(attempt, 100));
    }

    /** Lets an attempt stream its answer to the end, which must be the end of its request. */
    private void assertAnswers(ForwardAttempt attempt) {
        List<ForwardingCommand> commands = new ArrayList<>(beginStream(attempt));
        commands.addAll(relay(attempt, 1));
        assertPrimary(attempt);
        commands.addAll(
                fixture.handle(new ForwardingEvent.Answered(attempt, 200, Optional.empty())));
        commands.addAll(fixture.advance(LONGER_THAN_THE_TIMEOUT));
        assertEquals(List.of(new ForwardingCommand.RelayAnswer(attempt.request())), ends(commands));
        assertFalse(sends(commands));
        assertNothingInFlight();
    }

    private void assertNothingInFlight() {
        assertEquals(Map.of(), fixture.coordinator.fleet().inFlight());
        assertEquals(0, fixture.coordinator.pendingCount());
    }

    @Nested
    class OneAnswers {
        // Guards against a second answer that is asked for although the first one goes on.
        @ParameterizedTest
        @EnumSource
        void firstServerGoesOn(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands =
                    begun == Begun.NOTHING
                            ? beginStream(attempts.primary())
                            : relay(attempts.primary(), 1);
            assertEquals(
                    List.of(cancel(attempts.backup(), CancelReason.OTHER_SERVER_ANSWERS)),
                    cancels(commands));
            assertOver(attempts.backup());
            assertAnswers(attempts.primary());
        }

        // Guards against two servers that answer one request.
        @ParameterizedTest
        @EnumSource
        void secondServerAnswers(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = beginStream(attempts.backup());
            assertEquals(
                    List.of(cancel(attempts.primary(), CancelReason.OTHER_SERVER_ANSWERS)),
                    cancels(commands));
            assertOver(attempts.primary());
            assertAnswers(attempts.backup());
        }

        // Guards against the answer of a plain service that waits for the other attempt.
        @ParameterizedTest
        @EnumSource
        void answerOfAPlainServiceEndsTheRequest(Answering answering) {
            fixture.withServer("one", RECORDS).withServer("second", RECORDS);
            ForwardAttempt primary = sent(fixture.arrive("/read/1", ""));
            ForwardAttempt backup = sent(fixture.advance(STALL));
            boolean first = answering == Answering.FIRST;
            ForwardAttempt answers = first ? primary : backup;
            List<ForwardingCommand> commands =
                    fixture.handle(new ForwardingEvent.Answered(answers, 200, Optional.empty()));
            assertEquals(
                    List.of(cancel(first ? backup : primary, CancelReason.OTHER_SERVER_ANSWERS)),
                    cancels(commands));
            assertEquals(
                    List.of(new ForwardingCommand.RelayAnswer(primary.request())), ends(commands));
            assertNothingInFlight();
        }

        /** Which attempt is answered. */
        enum Answering {
            FIRST,
            SECOND
        }

        // Guards against what a server says about itself that is taken for its answer.
        @ParameterizedTest
        @EnumSource
        void noticesEndNoAttempt(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            ServerNotice leaving = new ServerNotice(true, Optional.empty());
            List<ForwardingCommand> commands = new ArrayList<>();
            commands.addAll(
                    fixture.handle(new ForwardingEvent.ServerNoticed(attempts.primary(), leaving)));
            commands.addAll(
                    fixture.handle(new ForwardingEvent.ServerNoticed(attempts.backup(), leaving)));
            assertEquals(List.of(), cancels(commands));
            assertEquals(List.of(), ends(commands));
            assertPrimary(attempts.primary());
            assertUnderWay(attempts.backup());
        }
    }

    @Nested
    class OneIsLost {
        static Stream<Arguments> losses() {
            return BackupAttemptsTest.losses();
        }

        // Guards against a request that is lost with its second attempt while its own server works.
        @ParameterizedTest
        @MethodSource("losses")
        void firstServerGoesOnAfter(Begun begun, Loss loss) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = lose(attempts.backup(), loss);
            assertEquals(List.of(), ends(commands));
            assertEquals(List.of(), cancels(commands));
            assertOver(attempts.backup());
            assertPrimary(attempts.primary());
            assertAnswers(attempts.primary());
        }

        // Guards against a request that ends with its silent server while the second one works.
        @ParameterizedTest
        @MethodSource("losses")
        void secondServerGoesOnAfter(Begun begun, Loss loss) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = lose(attempts.primary(), loss);
            assertEquals(List.of(), ends(commands));
            assertEquals(List.of(), cancels(commands));
            assertOver(attempts.primary());
            assertPrimary(attempts.backup());
            assertAnswers(attempts.backup());
        }

        // Guards against a second server that is asked only once, although it was full.
        @Test
        void secondServerThatRefusedIsAskedAgain() {
            useServers("one", "second");
            Attempts attempts = withBackup(Begun.IN_THE_STREAM);
            lose(attempts.backup(), Loss.BUSY);
            List<ForwardingCommand> commands = fixture.advance(REFUSAL_PAUSE);
            assertEquals(List.of(), cancels(commands));
            assertPrimary(attempts.primary());
            assertAnswers(sent(commands));
        }
    }

    @Nested
    class BothAreLost {
        static Stream<Arguments> pairs() {
            return BackupAttemptsTest.losses()
                    .flatMap(
                            first ->
                                    Stream.of(Loss.values())
                                            .filter(each -> each.isReported((Begun) first.get()[0]))
                                            .map(
                                                    second ->
                                                            Arguments.of(
                                                                    first.get()[0],
                                                                    first.get()[1],
                                                                    second)));
        }

        // Guards against a request that ends twice or never, and against servers that seem busy.
        @ParameterizedTest
        @MethodSource("pairs")
        void requestEndsOnce(Begun begun, Loss ofPrimary, Loss ofBackup) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = new ArrayList<>(lose(attempts.primary(), ofPrimary));
            commands.addAll(lose(attempts.backup(), ofBackup));
            if (ofPrimary.mayHaveRun() && ofBackup.mayHaveRun()) {
                assertFalse(sends(commands), "it was sent as often as it may be");
            }
            commands.addAll(fixture.advance(LONGER_THAN_THE_TIMEOUT));
            assertEquals(1, ends(commands).size());
            assertNothingInFlight();
        }

        // Guards against a begun stream that is broken off although its servers are only full.
        @Test
        void begunStreamThatBothRefusedGoesOnLater() {
            useServers("one", "second");
            Attempts attempts = withBackup(Begun.IN_THE_STREAM);
            List<ForwardingCommand> commands = new ArrayList<>();
            commands.addAll(lose(attempts.backup(), Loss.BUSY));
            commands.addAll(lose(attempts.primary(), Loss.BUSY));
            commands.addAll(fixture.advance(REFUSAL_PAUSE));
            assertEquals(List.of(), ends(commands));
            assertAnswers(sent(commands));
        }
    }

    @Nested
    class BothAreCancelled {
        private void assertBothCancelled(
                Attempts attempts, CancelReason reason, List<ForwardingCommand> commands) {
            assertEquals(
                    List.of(cancel(attempts.primary(), reason), cancel(attempts.backup(), reason)),
                    cancels(commands));
            assertNothingInFlight();
        }

        // Guards against a server that works on for a caller that has left.
        @ParameterizedTest
        @EnumSource
        void whenTheCallerLeaves(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands =
                    new ArrayList<>(
                            fixture.handle(
                                    new ForwardingEvent.CallerDisconnected(
                                            attempts.primary().request())));
            commands.addAll(fixture.advance(LONGER_THAN_THE_TIMEOUT));
            assertBothCancelled(attempts, CancelReason.CALLER_GONE, commands);
            assertEquals(List.of(), ends(commands));
            assertFalse(sends(commands));
        }

        // Guards against a server that works on after the time of its request.
        @ParameterizedTest
        @EnumSource
        void whenTheTimeIsOver(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = fixture.advance(LONGER_THAN_THE_TIMEOUT);
            assertBothCancelled(attempts, CancelReason.TIME_OVER, commands);
            assertEquals(
                    List.of(
                            new ForwardingCommand.Fail(
                                    attempts.primary().request(), FailureReason.TIME_OVER)),
                    ends(commands));
        }

        // Guards against a server that works on for a process that has stopped.
        @ParameterizedTest
        @EnumSource
        void whenTheProcessStops(Begun begun) {
            useServers("one", "second");
            Attempts attempts = withBackup(begun);
            fixture.handle(new ForwardingEvent.StopScheduled(fixture.now.plusMillis(500)));
            fixture.handle(new ForwardingEvent.QueueClosed());
            List<ForwardingCommand> commands = fixture.advance(Duration.ofSeconds(1));
            assertBothCancelled(attempts, CancelReason.STOPPING, commands);
            assertEquals(1, ends(commands).size());
        }
    }

    @Nested
    class Limits {
        // Guards against the loss of a silent attempt for which there is no replacement.
        @ParameterizedTest
        @EnumSource
        void withoutARetryTheFirstAttemptStays(Begun begun) {
            fixture = ForwardingFixture.withRetries(0).withRoutes();
            useServers("one", "second");
            ForwardAttempt primary = silentStream(begun);
            List<ForwardingCommand> commands = fixture.advance(STALL);
            assertFalse(sends(commands));
            assertEquals(List.of(), cancels(commands));
            assertAnswers(primary);
        }

        // Guards against the loss of a second attempt that is silent as well while no retry allows
        // a third one.
        @ParameterizedTest
        @EnumSource
        void withoutAFurtherRetryTheSecondAttemptStays(Begun begun) {
            fixture = ForwardingFixture.withRetries(2).withRoutes();
            allowThreeAttempts();
            useServers("one", "second", "the-third");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = fixture.advance(STALL);
            assertFalse(sends(commands));
            assertEquals(List.of(), cancels(commands));
            assertAnswers(attempts.backup());
        }

        // Guards against the same while the request must reach no further server.
        @Test
        void quarantinedRequestKeepsItsSilentSecondAttempt() {
            allowThreeAttempts();
            useServers("one", "second", "the-third");
            ForwardAttempt primary = sent(fixture.arrive("/ask/1", "m", List.of("bad")));
            ForwardAttempt backup = sent(fixture.advance(STALL));
            fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of(BAD)));
            List<ForwardingCommand> commands = fixture.advance(STALL);
            assertFalse(sends(commands));
            assertEquals(List.of(), cancels(commands));
            assertPrimary(primary);
            assertAnswers(backup);
        }

        // Guards against three servers that work on one request.
        @ParameterizedTest
        @EnumSource
        void thirdServerReplacesASilentSecondOne(Begun begun) {
            allowThreeAttempts();
            useServers("one", "second", "the-third");
            Attempts attempts = withBackup(begun);
            List<ForwardingCommand> commands = fixture.advance(STALL);
            assertEquals(
                    List.of(cancel(attempts.backup(), CancelReason.SERVER_SILENT)),
                    cancels(commands));
            assertPrimary(attempts.primary());
            assertAnswers(sent(commands));
        }

        // Guards against more sends than the route allows.
        @ParameterizedTest
        @EnumSource
        void requestGoesToNoThirdServerOfTwo(Begun begun) {
            useServers("one", "second", "the-third");
            Attempts attempts = withBackup(begun);
            lose(attempts.backup(), Loss.BROKEN_BEFORE_ITS_HEAD);
            List<ForwardingCommand> commands = fixture.advance(STALL);
            assertFalse(sends(commands));
            assertAnswers(attempts.primary());
        }

        // Guards against a route's attempts that are used up by servers that did not run it.
        @ParameterizedTest
        @EnumSource
        void refusalIsNoRun(Begun begun) {
            useServers("one", "second", "the-third");
            Attempts attempts = withBackup(begun);
            lose(attempts.backup(), Loss.BUSY);
            assertAnswers(sent(fixture.advance(REFUSAL_PAUSE)));
        }

        // Guards against a third attempt that is refused although the route allows it.
        @ParameterizedTest
        @EnumSource
        void requestGoesToTheThirdServerOfThree(Begun begun) {
            allowThreeAttempts();
            useServers("one", "second", "the-third");
            Attempts attempts = withBackup(begun);
            lose(attempts.backup(), Loss.BROKEN_BEFORE_ITS_HEAD);
            assertAnswers(sent(fixture.advance(REFUSAL_PAUSE)));
        }

        // Guards against a second run of a request that may run once.
        @Test
        void requestThatRunsOnceHasOneAttempt() {
            useServers("one", "second");
            fixture.withServer("third-one", RECORDS).withServer("the-fourth", RECORDS);
            ForwardAttempt stream = sent(fixture.arrive("/score/1", "m"));
            ForwardAttempt plain = sent(fixture.arrive("/issue/1", ""));
            beginStream(stream);
            List<ForwardingCommand> commands = fixture.advance(STALL.multipliedBy(2));
            assertFalse(sends(commands));
            assertEquals(List.of(), cancels(commands));
            assertPrimary(stream);
            assertPrimary(plain);
        }

        // Guards against a second server for a request that may crash it.
        @Test
        void quarantinedRequestHasNoSecondAttempt() {
            useServers("one", "second");
            ForwardAttempt primary = sent(fixture.arrive("/ask/1", "m", List.of("bad")));
            fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of(BAD)));
            assertFalse(sends(fixture.advance(STALL)));
            assertAnswers(primary);
        }

        // Guards against a trial that reaches two servers.
        @Test
        void requestOnTrialHasNoSecondAttempt() {
            useServers("one", "second");
            fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of(BAD)));
            fixture.handle(new ForwardingEvent.TrialAllowed(BAD));
            ForwardAttempt primary = sent(fixture.arrive("/ask/1", "m", List.of("bad")));
            fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of()));
            assertFalse(sends(fixture.advance(STALL)));
            assertAnswers(primary);
        }

        // Guards against a request that is given up because it is quarantined under way.
        @ParameterizedTest
        @EnumSource
        void quarantineEndsNoAttempt(Begun begun) {
            useServers("one", "second");
            ForwardAttempt primary = silentStream(begun);
            ForwardAttempt backup = sent(fixture.advance(STALL));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.QuarantineChanged(
                                    Set.of(
                                            new RequestTrait(
                                                    RequestTrait.Kind.CONTENT,
                                                    Long.toHexString(fixture.lastKey())))));
            assertEquals(List.of(), commands);
            assertPrimary(primary);
            assertAnswers(backup);
        }
    }
}
