package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
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
}
