package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests are refused as not run only if no server has run them or will run them. */
class RefusalPromiseTest {
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
