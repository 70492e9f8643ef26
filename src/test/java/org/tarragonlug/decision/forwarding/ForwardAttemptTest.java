package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Events of an attempt that has ended, which come when the next one is due or under way. */
class ForwardAttemptTest {
    private static final Duration LONGER_THAN_A_STALL = Duration.ofSeconds(2);

    private final ForwardingFixture fixture =
            new ForwardingFixture()
                    .withRoutes()
                    .withServer("one", ENGINES, "m")
                    .withServer("second", ENGINES, "m");

    /** What may happen to an attempt. */
    enum Happening {
        REJECTED(at -> new ForwardingEvent.Rejected(at, Rejection.BUSY, Optional.empty())),
        NOT_SENT(at -> new ForwardingEvent.Rejected(at, Rejection.UNREACHABLE, Optional.empty())),
        NOTICED(at -> new ForwardingEvent.ServerNoticed(at, leaving())),
        STREAM_STARTED(at -> new ForwardingEvent.StreamStarted(at, Optional.empty())),
        EVENT_RELAYED(at -> new ForwardingEvent.EventRelayed(at, 7)),
        ANSWERED(at -> new ForwardingEvent.Answered(at, 200, Optional.empty())),
        FAILED(at -> new ForwardingEvent.Answered(at, 500, Optional.empty())),
        AMBIGUOUS(at -> new ForwardingEvent.AnsweredAmbiguously(at, Optional.empty())),
        BROKEN(at -> new ForwardingEvent.ConnectionBroken(at, AnswerProgress.HEAD));

        final Function<ForwardAttempt, ForwardingEvent> event;

        Happening(Function<ForwardAttempt, ForwardingEvent> event) {
            this.event = event;
        }

        private static ServerNotice leaving() {
            return new ServerNotice(true, Optional.empty());
        }
    }

    private static ForwardingCommand.Send sendOf(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).orElseThrow();
    }

    private List<ForwardingCommand> handle(Happening happening, ForwardAttempt attempt) {
        return fixture.handle(happening.event.apply(attempt));
    }

    private static void assertDiscarded(ForwardAttempt attempt, List<ForwardingCommand> commands) {
        assertEquals(List.of(new ForwardingCommand.ReportLateEvent(attempt)), commands);
    }

    // Guards against the outcome of a silent attempt, given up for the next one, that ends the next
    // one: the request would go to a third server while the second one works on it.
    @ParameterizedTest
    @EnumSource
    void eventOfAnAttemptThatWasGivenUpDoesNotConcernTheNext(Happening late) {
        ForwardingCommand.Send first = sendOf(fixture.arrive("/ask/1", "m"));
        ForwardingCommand.Send second = sendOf(fixture.advance(LONGER_THAN_A_STALL));
        assertNotEquals(first.attempt(), second.attempt());
        handle(Happening.STREAM_STARTED, second.attempt());
        assertDiscarded(first.attempt(), handle(late, first.attempt()));
        assertTrue(fixture.coordinator.isUnderWay(second.attempt()));
        assertEquals(
                Optional.of(new ForwardingCommand.RelayAnswer(second.request())),
                find(
                        handle(Happening.ANSWERED, second.attempt()),
                        ForwardingCommand.RelayAnswer.class));
    }

    // Guards against a second statement "not run" for one attempt that is counted for another one,
    // so that a request that must run once goes on to a further server after it may have run.
    @Test
    void rejectionThatComesTwiceCountsOnce() {
        ForwardingCommand.Send first = sendOf(fixture.arrive("/score/1", "m"));
        ForwardingCommand.Send second = sendOf(handle(Happening.REJECTED, first.attempt()));
        assertDiscarded(first.attempt(), handle(Happening.REJECTED, first.attempt()));
        List<ForwardingCommand> commands = handle(Happening.BROKEN, second.attempt());
        assertEquals(
                Optional.of(
                        new ForwardingCommand.Fail(second.request(), FailureReason.SERVER_LOST)),
                find(commands, ForwardingCommand.Fail.class));
    }

    // Guards against an event that counts while no server has the request: a rejection would make
    // the number of possible runs too small, so that the next run counts as none.
    @ParameterizedTest
    @EnumSource
    void eventOfAnEndedAttemptDoesNotConcernAWaitingRequest(Happening late) {
        ForwardingCommand.Send first = sendOf(fixture.arrive("/score/1", "m"));
        ForwardingCommand.Send second = sendOf(handle(Happening.REJECTED, first.attempt()));
        assertTrue(
                find(handle(Happening.REJECTED, second.attempt()), ForwardingCommand.Send.class)
                        .isEmpty(),
                "the request waits");
        assertDiscarded(second.attempt(), handle(late, second.attempt()));
        ForwardingCommand.Send third = sendOf(fixture.advance(LONGER_THAN_A_STALL));
        assertTrue(
                find(handle(Happening.BROKEN, third.attempt()), ForwardingCommand.Fail.class)
                        .isPresent());
    }

    // Guards against a request that is written to the server of an attempt that was given up while
    // it waited for its connection.
    @Test
    void attemptThatWasGivenUpMayNotBeSent() {
        ForwardingCommand.Send first = sendOf(fixture.arrive("/ask/1", "m"));
        ForwardingCommand.Send second = sendOf(fixture.advance(LONGER_THAN_A_STALL));
        handle(Happening.STREAM_STARTED, second.attempt());
        assertFalse(fixture.coordinator.maySend(first.attempt(), fixture.now));
        assertTrue(fixture.coordinator.maySend(second.attempt(), fixture.now));
    }
}
