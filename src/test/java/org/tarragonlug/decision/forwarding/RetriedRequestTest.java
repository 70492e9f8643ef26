package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What becomes of requests that may be sent again when no retry is possible at the moment. */
class RetriedRequestTest {
    /** Time after which retries leave the window of the budget. */
    private static final Duration BUDGET_WINDOW = ForwardingFixture.RETRY_WINDOW;

    /** Time after which a silent server of any request counts as stalled. */
    private static final Duration STALL = Duration.ofMillis(1300);

    private static final Duration LONGER_THAN_THE_TIMEOUT = Duration.ofSeconds(7);
    private static final int SERVER_FAILURE = 500;

    private static ForwardingCommand.Send sendOf(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).orElseThrow();
    }

    private static ForwardingEvent broken(ForwardingCommand.Send send, AnswerProgress progress) {
        return new ForwardingEvent.ConnectionBroken(send.attempt(), progress);
    }

    @Nested
    class BudgetUsedUp {
        /** Retries of a budget that allows one retry beside a single first send. */
        private static final int ONE_RETRY = 2;

        private final ForwardingFixture fixture =
                ForwardingFixture.withRetries(ONE_RETRY)
                        .withRoutes()
                        .withServer("one", ENGINES, "m")
                        .withServer("second", ENGINES, "m");

        private ForwardingCommand.Send begunStream(String path) {
            ForwardingCommand.Send send = sendOf(fixture.arrive(path, "m"));
            fixture.handle(new ForwardingEvent.StreamStarted(send.attempt(), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(send.attempt(), 0));
            return send;
        }

        // Guards against a begun stream that is broken off because the budget for retries is used
        // up at the moment at which its server is lost, although a retry is possible later.
        @Test
        void begunStreamThatLostItsServerWaitsForARetry() {
            ForwardingCommand.Send other = begunStream("/ask/1");
            sendOf(fixture.handle(broken(other, AnswerProgress.CONTENT)));
            fixture.advance(BUDGET_WINDOW.minusSeconds(1));

            ForwardingCommand.Send first = begunStream("/ask/2");
            List<ForwardingCommand> commands =
                    fixture.handle(broken(first, AnswerProgress.CONTENT));
            assertEquals(Optional.empty(), find(commands, ForwardingCommand.Fail.class));
            ForwardingCommand.Send second = sendOf(fixture.advance(Duration.ofSeconds(2)));
            assertEquals(first.request(), second.request());
            assertEquals(0, second.lastEventId());
        }

        // Guards against a stream that may not be resumed and waits all the same.
        @Test
        void streamThatMayNotBeResumedEndsAtOnce() {
            ForwardingCommand.Send send = begunStream("/score/1");
            List<ForwardingCommand> commands = fixture.handle(broken(send, AnswerProgress.CONTENT));
            assertTrue(find(commands, ForwardingCommand.Fail.class).isPresent());
        }
    }

    @Nested
    class FailureOfAServer {
        private final ForwardingFixture fixture =
                new ForwardingFixture()
                        .withRoutes()
                        .withServer("one", RECORDS)
                        .withServer("second", RECORDS);

        private List<ForwardingCommand> answer(ForwardingCommand.Send send, int status) {
            return fixture.handle(
                    new ForwardingEvent.Answered(send.attempt(), status, Optional.empty()));
        }

        private void assertRelayed(ForwardingCommand.Send send, List<ForwardingCommand> commands) {
            assertEquals(
                    Optional.of(new ForwardingCommand.RelayAnswer(send.request())),
                    find(commands, ForwardingCommand.RelayAnswer.class));
            assertEquals(Optional.empty(), find(commands, ForwardingCommand.Fail.class));
        }

        // Guards against a server's own failure that is replaced by one of the gateway because
        // another server, which was asked after it, gave no answer at all.
        @Test
        void isPassedOnIfTheNextServerIsLost() {
            ForwardingCommand.Send first = sendOf(fixture.arrive("/read/1", ""));
            ForwardingCommand.Send second = sendOf(answer(first, SERVER_FAILURE));
            assertRelayed(first, fixture.handle(broken(second, AnswerProgress.NOTHING)));
        }

        // Guards against the same if the next server refuses, or is silent until the end.
        @Test
        void isPassedOnIfTheNextServerRefuses() {
            ForwardingCommand.Send first = sendOf(fixture.arrive("/read/1", ""));
            ForwardingCommand.Send second = sendOf(answer(first, SERVER_FAILURE));
            assertRelayed(
                    first,
                    fixture.handle(
                            new ForwardingEvent.Rejected(
                                    second.attempt(), Rejection.BUSY, Optional.empty())));
        }

        @Test
        void isPassedOnIfTheNextServerIsSilent() {
            ForwardingCommand.Send first = sendOf(fixture.arrive("/read/1", ""));
            sendOf(answer(first, SERVER_FAILURE));
            assertRelayed(first, fixture.advance(LONGER_THAN_THE_TIMEOUT));
        }

        // Guards against the same where both servers had the request at once.
        @Test
        void isPassedOnIfTheOtherAttemptIsLost() {
            ForwardingCommand.Send first = sendOf(fixture.arrive("/read/1", ""));
            ForwardingCommand.Send second = sendOf(fixture.advance(STALL));
            assertEquals(
                    Optional.empty(),
                    find(answer(first, SERVER_FAILURE), ForwardingCommand.RelayAnswer.class));
            assertRelayed(first, fixture.handle(broken(second, AnswerProgress.NOTHING)));
        }

        // Guards against a stream that ends as if it were complete.
        @Test
        void isNotPassedOnBehindAStreamThatHasBegun() {
            fixture.withServer("third-one", ENGINES, "m").withServer("the-fourth", ENGINES, "m");
            ForwardingCommand.Send first = sendOf(fixture.arrive("/ask/1", "m"));
            ForwardingCommand.Send second = sendOf(fixture.advance(STALL));
            answer(first, SERVER_FAILURE);
            fixture.handle(new ForwardingEvent.StreamStarted(second.attempt(), Optional.empty()));
            List<ForwardingCommand> commands =
                    fixture.handle(broken(second, AnswerProgress.CONTENT));
            assertEquals(
                    Optional.of(
                            new ForwardingCommand.Fail(
                                    second.request(), FailureReason.SERVER_LOST)),
                    find(commands, ForwardingCommand.Fail.class));
        }
    }
}
