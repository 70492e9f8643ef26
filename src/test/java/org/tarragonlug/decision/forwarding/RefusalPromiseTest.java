package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
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
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;

/** Requests are refused as not run only if no server has run them or will run them. */
class RefusalPromiseTest {
    private static final List<String> PARTS = List.of("part");
    private static final Set<RequestTrait> TRAITS =
            Set.of(new RequestTrait(RequestTrait.Kind.PART, "part"));

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();

    private List<ForwardingCommand> arrive(String path) {
        return fixture.arrive(path, path.startsWith("/ask/") ? "m" : "");
    }

    private ForwardAttempt attempt() {
        return fixture.attempt(fixture.lastKey());
    }

    private static FailureReason failure(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Fail.class).orElseThrow().reason();
    }

    /** What happened to a request before it waits again, and whether it may have run. */
    enum Earlier {
        NEVER_SENT(false),
        REJECTED_AS_BUSY(false, Rejection.BUSY),
        MODEL_ABSENT(false, Rejection.MODEL_ABSENT),
        OTHER_SERVER_AT_THE_ADDRESS(false, Rejection.WRONG_SERVER),
        UNREACHABLE(false, Rejection.UNREACHABLE),
        NO_OTHER_CONNECTION(false, Rejection.NO_OTHER_CONNECTION),
        WITHDRAWN(false, Rejection.WITHDRAWN),
        BROKEN(true),
        STALLED(true);

        private final boolean mayHaveRun;
        private final Optional<Rejection> rejection;

        Earlier(boolean mayHaveRun, Rejection... rejection) {
            this.mayHaveRun = mayHaveRun;
            this.rejection = Stream.of(rejection).findFirst();
        }
    }

    /** What ends a request that waits. */
    enum Ending {
        TIME_OVER(test -> test.fixture.advance(Duration.ofSeconds(7))),
        TIMER_AFTER_A_PAUSE_OF_THE_PROCESS(
                test -> {
                    test.fixture.now = test.fixture.now.plusSeconds(7);
                    return test.fixture.handle(new ForwardingEvent.Tick());
                }),
        STOP(
                test -> {
                    Instant end = test.fixture.now.plusMillis(100);
                    test.fixture.handle(new ForwardingEvent.StopScheduled(end));
                    return test.fixture.advance(Duration.ofMillis(200));
                }),
        QUEUE_CLOSED(test -> test.fixture.handle(new ForwardingEvent.QueueClosed())),
        QUARANTINE(test -> test.fixture.handle(new ForwardingEvent.QuarantineChanged(TRAITS))),
        MODEL_EXPECTED_TOO_LATE(
                test ->
                        test.fixture.handle(
                                new ForwardingEvent.ModelReadyExpected(
                                        ENGINES,
                                        ModelKey.parse("m"),
                                        test.fixture.now.plusSeconds(60))));

        private final Function<RefusalPromiseTest, List<ForwardingCommand>> action;

        Ending(Function<RefusalPromiseTest, List<ForwardingCommand>> action) {
            this.action = action;
        }
    }

    private void letWaitAfter(Earlier earlier) {
        if (earlier != Earlier.NEVER_SENT) {
            fixture.withServer("first", ENGINES, "m");
        }
        fixture.arrive("/ask/1", "m", PARTS);
        if (earlier == Earlier.STALLED) {
            fixture.withServer("second", ENGINES, "m");
            fixture.advance(Duration.ofMillis(1500));
        }
        fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("first")));
        fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("second")));
        if (earlier == Earlier.BROKEN) {
            fixture.handle(new ForwardingEvent.ConnectionBroken(attempt(), AnswerProgress.NOTHING));
        } else if (earlier != Earlier.NEVER_SENT) {
            Rejection rejection = earlier.rejection.orElse(Rejection.UNREACHABLE);
            fixture.handle(new ForwardingEvent.Rejected(attempt(), rejection, Optional.empty()));
        }
        if (earlier == Earlier.STALLED) {
            ForwardAttempt silent = new ForwardAttempt(attempt().request(), 1);
            fixture.handle(new ForwardingEvent.ConnectionBroken(silent, AnswerProgress.NOTHING));
        }
        assertEquals(1, fixture.coordinator.waitingCount());
    }

    // Guards against a refusal as not run of a request of which an earlier send may have run, and
    // against a failure that keeps a caller from returning with a request that has not run.
    @ParameterizedTest
    @MethodSource("earlierAndEnding")
    void waitingRequestIsRefusedOnlyIfNoSendMayHaveRun(Earlier earlier, Ending ending) {
        letWaitAfter(earlier);
        List<ForwardingCommand> commands = ending.action.apply(this);
        if (ending == Ending.QUEUE_CLOSED && earlier.mayHaveRun) {
            assertEquals(List.of(), commands, "it waits until the process stops");
            commands = Ending.STOP.action.apply(this);
        }
        assertEquals(earlier.mayHaveRun, find(commands, ForwardingCommand.Fail.class).isPresent());
        assertEquals(
                !earlier.mayHaveRun, find(commands, ForwardingCommand.Refuse.class).isPresent());
        assertEquals(0, fixture.coordinator.pendingCount());
    }

    static Stream<Arguments> earlierAndEnding() {
        return Stream.of(Earlier.values())
                .flatMap(
                        earlier ->
                                Stream.of(Ending.values())
                                        .map(ending -> Arguments.of(earlier, ending)));
    }

    // Guards against a refusal of a request that is at a server, by a timer that fires before the
    // answer is read, a stop, or news about its model or route.
    @ParameterizedTest
    @EnumSource
    void requestAtAServerIsNeverRefused(Ending ending) {
        fixture.withServer("first", ENGINES, "m");
        fixture.arrive("/ask/1", "m", PARTS);
        List<ForwardingCommand> commands = new ArrayList<>(ending.action.apply(this));
        commands.addAll(
                fixture.handle(new ForwardingEvent.TableInstalled(ForwardingFixture.table(2))));
        commands.addAll(fixture.advance(Duration.ofSeconds(7)));
        assertTrue(find(commands, ForwardingCommand.Refuse.class).isEmpty());
        assertTrue(find(commands, ForwardingCommand.Fail.class).isPresent());
    }

    /** A server answers with a status that says "not run", without stating it. */
    @Nested
    class AmbiguousAnswers {
        private List<ForwardingCommand> answerAmbiguously() {
            return fixture.handle(
                    new ForwardingEvent.AnsweredAmbiguously(attempt(), Optional.empty()));
        }

        // Guards against a promise, or a second run, of a request that must run once and may have.
        @Test
        void requestThatMustRunOnceFails() {
            fixture.withServer("first", RECORDS).withServer("second", RECORDS);
            arrive("/issue/1");
            List<ForwardingCommand> commands = answerAmbiguously();
            assertEquals(List.of(FailureReason.ANSWER_AMBIGUOUS), List.of(failure(commands)));
            assertEquals(0, fixture.coordinator.pendingCount());
        }

        // Guards against the failure of a request that another server can still run, and against a
        // server that is taken for lost though it answers.
        @Test
        void idempotentRequestGoesToAnotherServerOnce() {
            fixture.withServer("first", RECORDS).withServer("second", RECORDS);
            ForwardingCommand.Send first =
                    find(arrive("/read/1"), ForwardingCommand.Send.class).orElseThrow();
            List<ForwardingCommand> commands = answerAmbiguously();
            ForwardingCommand.Send second =
                    find(commands, ForwardingCommand.Send.class).orElseThrow();
            assertEquals(false, first.server().equals(second.server()));
            assertEquals(false, second.newConnection());
            assertEquals(
                    Optional.empty(), find(commands, ForwardingCommand.ReportRequestLost.class));
            assertEquals(FailureReason.ANSWER_AMBIGUOUS, failure(answerAmbiguously()));
        }

        // Guards against an ambiguous answer that ends a stream as complete or as never begun.
        @Test
        void streamThatHasBegunFails() {
            fixture.withServer("first", ENGINES, "m");
            arrive("/ask/1");
            fixture.handle(new ForwardingEvent.StreamStarted(attempt(), Optional.empty()));
            assertEquals(FailureReason.ANSWER_AMBIGUOUS, failure(answerAmbiguously()));
        }
    }
}
