package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.id.ServerId;

/** Tests attempts: streams, retries, silent connections, crashes and the drain. */
class RequestAttemptTest {
    private final RequestFixture fixture = new RequestFixture();

    @AfterEach
    void assertNoInvariantViolated() {
        assertEquals(List.of(), fixture.violations);
    }

    private List<Integer> forwardedOffsets() {
        return fixture.allOf(RequestCommand.ForwardToken.class).stream()
                .map(RequestCommand.ForwardToken::offset)
                .toList();
    }

    private int sentGenerations() {
        return fixture.allOf(RequestCommand.SendGeneration.class).size();
    }

    @Nested
    class BrokenStream {
        /**
         * Guards against lost or duplicate tokens after a connection breaks: the resumed attempt
         * must continue after the last forwarded token, and tokens of both attempts must not be
         * forwarded twice.
         */
        @Test
        void resumesBrokenStreamAtNextOffsetOnSameServer() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.receiveToken(first.attempt(), 0);
            fixture.receiveToken(first.attempt(), 1);
            fixture.failAttempt(first.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(first.server(), fixture.lastOf(RequestCommand.CheckServer.class).server());
            assertEquals(1, sentGenerations());
            fixture.reportServer(first.server(), "i1", 0, 0);
            RequestCommand.SendGeneration second = fixture.lastGeneration();
            assertEquals(first.server(), second.server());
            assertEquals(2, second.resumeOffset());
            fixture.receiveToken(first.attempt(), 2);
            fixture.receiveToken(second.attempt(), 1);
            fixture.receiveToken(second.attempt(), 2);
            fixture.completeAttempt(second.attempt(), 3);
            assertEquals(List.of(0, 1, 2), forwardedOffsets());
            assertEquals(3, fixture.lastOf(RequestCommand.CompleteAnswer.class).tokens());
        }

        /**
         * Guards against an incomplete answer that is passed on as complete, because a token is
         * missing in the middle or the engine ends the answer before its last tokens have arrived.
         */
        @Test
        void resumesStreamAtMissingToken() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.receiveToken(first.attempt(), 0);
            fixture.receiveToken(first.attempt(), 2);
            assertEquals(
                    first.attempt(), fixture.lastOf(RequestCommand.CancelAttempt.class).attempt());
            fixture.reportServer(first.server(), "i1", 0, 0);
            RequestCommand.SendGeneration second = fixture.lastGeneration();
            assertEquals(1, second.resumeOffset());
            fixture.receiveToken(second.attempt(), 1);
            fixture.completeAttempt(second.attempt(), 3);
            fixture.reportServer(first.server(), "i1", 0, 0);
            assertEquals(2, fixture.lastGeneration().resumeOffset());
            assertTrue(fixture.allOf(RequestCommand.CompleteAnswer.class).isEmpty());
        }

        /**
         * Guards against an engine that continues to generate for a request that has ended, because
         * the cancellation of its attempt was lost.
         */
        @Test
        void cancelsAbandonedAttemptAgainOnLateToken() {
            fixture.arrive("r1", "/chat", "m", Duration.ofSeconds(1), Optional.empty());
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.advance(1_000);
            assertEquals(RefusalReason.DEADLINE_EXCEEDED, fixture.lastRefusal().reason());
            assertEquals(Execution.MAY_HAVE_RUN, fixture.lastRefusal().execution());
            fixture.receiveToken(first.attempt(), 0);
            fixture.receiveToken(first.attempt(), 1);
            assertEquals(2, fixture.allOf(RequestCommand.CancelAttempt.class).size());
            assertEquals(List.of(), forwardedOffsets());
        }
    }

    @Nested
    class SilentConnection {
        /**
         * Guards against a caller that waits until its deadline because the server's connection
         * stays open but delivers no further token.
         */
        @Test
        void resumesStreamWhenProgressTimeoutPasses() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.receiveToken(first.attempt(), 0);
            fixture.advance(995);
            assertEquals(0, fixture.allOf(RequestCommand.CancelAttempt.class).size());
            fixture.advance(10);
            assertEquals(1, fixture.allOf(RequestCommand.CancelAttempt.class).size());
            fixture.reportServer(first.server(), "i1", 0, 0);
            assertEquals(1, fixture.lastGeneration().resumeOffset());
            assertEquals(2, sentGenerations());
        }

        /**
         * Guards against a request that keeps waiting for an unreachable server although another
         * server could run it.
         */
        @Test
        void retriesOnAnotherServerWhenServerIsUnreachable() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.advance(1_005);
            fixture.post(new RequestEvent.ServerUnreachable(first.server()));
            assertNotEquals(first.server(), fixture.lastGeneration().server());
            assertEquals(2, sentGenerations());
        }

        /**
         * Guards against needless checks of a server whose calls merely take long, while its
         * reports show that it is alive.
         */
        @Test
        void sendsNoChecksWhileReportsAreRecent() {
            for (int index = 0; index < 8; index++) {
                fixture.arrive("r" + index, "/read", "");
            }
            for (int round = 0; round < 30; round++) {
                fixture.advance(100);
                fixture.reportServer(new ServerId("s1"), "i1", 4, 0);
                fixture.reportServer(new ServerId("s2"), "i1", 4, 0);
            }
            assertTrue(fixture.allOf(RequestCommand.CheckServer.class).isEmpty());
        }

        /**
         * Guards against running a non-idempotent call twice, because it is sent again when no
         * answer arrives for several seconds.
         */
        @Test
        void keepsSilentNonIdempotentCallUntilDeadline() {
            fixture.arrive("r1", "/book", "", Duration.ofSeconds(8), Optional.empty());
            fixture.advance(7_900);
            assertTrue(fixture.allOf(RequestCommand.Refuse.class).isEmpty());
            fixture.advance(100);
            assertEquals(Execution.MAY_HAVE_RUN, fixture.lastRefusal().execution());
            assertEquals(1, fixture.allOf(RequestCommand.SendCall.class).size());
        }
    }

    @Nested
    class Retry {
        /**
         * Guards against a retry storm: if every attempt fails and every request is retried several
         * times, retries multiply the load on the failing servers.
         */
        @Test
        void limitsRetriesToBudgetWhenServersFail() {
            int requests = 200;
            for (int index = 0; index < requests; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                RequestCommand.SendGeneration last = null;
                while (fixture.lastGeneration() != last) {
                    last = fixture.lastGeneration();
                    fixture.failAttempt(last.attempt(), AttemptFailure.SERVER_ERROR);
                    fixture.reportServer(last.server(), "i1", 0, 0);
                }
                assertEquals(RefusalReason.BACKEND_FAILED, fixture.lastRefusal().reason());
                assertEquals(Execution.MAY_HAVE_RUN, fixture.lastRefusal().execution());
            }
            assertTrue(
                    sentGenerations() <= requests + requests / 10 + 3, "sent " + sentGenerations());
        }

        /**
         * Guards against running a non-idempotent request twice, because it is retried although its
         * connection was lost after the request had been sent. A request that was not sent is still
         * retried.
         */
        @Test
        void retriesNonIdempotentRequestOnlyIfItDidNotRun() {
            fixture.arrive("r1", "/once", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.failAttempt(first.attempt(), AttemptFailure.NOT_SENT);
            RequestCommand.SendGeneration second = fixture.lastGeneration();
            assertNotEquals(first.server(), second.server());
            fixture.failAttempt(second.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(2, sentGenerations());
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.lastRefusal().reason());
            assertEquals(Execution.MAY_HAVE_RUN, fixture.lastRefusal().execution());
        }

        /**
         * Guards against a refusal with the execution "may have run" for a request that the server
         * certainly did not run because it rejected the request as invalid.
         */
        @Test
        void reportsRejectedRequestAsNotRun() {
            fixture.arrive("r1", "/once", "m");
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.REJECTED);
            assertEquals(RefusalReason.REJECTED_BY_BACKEND, fixture.lastRefusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
        }

        /** Guards against a promise "not run" that rests on the status of an engine alone. */
        @Test
        void reportsRejectionWithoutStatementAsPossiblyRun() {
            fixture.arrive("r1", "/once", "m");
            fixture.failAttempt(
                    fixture.lastGeneration().attempt(), AttemptFailure.REJECTED_WITHOUT_STATEMENT);
            assertEquals(1, sentGenerations());
            assertEquals(RefusalReason.REJECTED_BY_BACKEND, fixture.lastRefusal().reason());
            assertEquals(Execution.MAY_HAVE_RUN, fixture.lastRefusal().execution());
        }

        /**
         * Guards against a retry that gets the complete timeout again and so runs beyond the
         * caller's deadline.
         */
        @Test
        void sendsRetryWithRemainingTime() {
            fixture.arrive("r1", "/chat", "m");
            fixture.advance(500);
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.NOT_SENT);
            assertEquals(Duration.ofMillis(9_500), fixture.lastGeneration().remaining());
        }

        /**
         * Guards against an overloaded server that attracts every request, because it rejects
         * requests immediately and therefore seems to have the least load.
         */
        @Test
        void pausesServerAfterOverloadRejection() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.lastGeneration().server();
            fixture.failAttempt(
                    fixture.lastGeneration().attempt(), AttemptFailure.REFUSED_OVERLOADED);
            for (int index = 2; index < 10; index++) {
                assertNotEquals(server, fixture.lastGeneration().server());
                fixture.arrive("r" + index, "/chat", "m");
            }
        }

        /**
         * Guards against further requests to a server that has unloaded the model, while the
         * decider's list of ready servers still contains that server.
         */
        @Test
        void excludesServerThatHasNotLoadedTheModel() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.lastGeneration().server();
            fixture.failAttempt(
                    fixture.lastGeneration().attempt(), AttemptFailure.REFUSED_NOT_LOADED);
            for (int index = 2; index < 10; index++) {
                assertNotEquals(server, fixture.lastGeneration().server());
                fixture.arrive("r" + index, "/chat", "m");
            }
        }
    }

    @Nested
    class CrashingRequest {
        private void crash(ServerId server, String incarnation) {
            fixture.post(new RequestEvent.ServerLost(server, Optional.of(incarnation)));
        }

        /**
         * Guards against a request that crashes one server after another, because it is retried
         * after each crash or sent again by its caller.
         */
        @Test
        void quarantinesRequestAtSecondServerLoss() {
            fixture.arrive("bad", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.failAttempt(first.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(1, sentGenerations());
            crash(first.server(), "i1");
            RequestCommand.SendGeneration second = fixture.lastGeneration();
            assertNotEquals(first.server(), second.server());
            assertEquals(
                    1, fixture.lastOf(RequestCommand.AnnounceSuspects.class).fingerprints().size());
            crash(second.server(), "i1");
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.lastRefusal().reason());
            assertEquals(1, fixture.allOf(RequestCommand.QuarantineFingerprint.class).size());
            fixture.arrive(
                    "again", RequestFixture.description("/chat", "m", Optional.empty(), "bad"));
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.lastRefusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
            assertEquals(2, sentGenerations());
        }

        /**
         * Guards against quarantining harmless requests that ran on the server that another request
         * crashed: a second crash would quarantine them if they ran beside the harmful request
         * again.
         */
        @Test
        void retriesSuspectsIsolatedAndClearsHarmlessOnes() {
            List<RequestCommand.SendGeneration> sent = new ArrayList<>();
            for (int index = 0; index < 9; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                sent.add(fixture.lastGeneration());
            }
            ServerId lost = RequestFixture.E1;
            List<RequestCommand.SendGeneration> suspects =
                    sent.stream().filter(send -> send.server().equals(lost)).toList();
            assertTrue(suspects.size() >= 3, "spread " + sent);
            crash(lost, "i1");
            assertEquals(9 + 2, sentGenerations());
            while (sentGenerations() < 9 + suspects.size()) {
                int before = sentGenerations();
                fixture.completeAttempt(fixture.lastGeneration().attempt(), 0);
                assertEquals(before + 1, sentGenerations());
            }
            for (RequestCommand.SendGeneration send :
                    fixture.allOf(RequestCommand.SendGeneration.class)) {
                fixture.completeAttempt(send.attempt(), 0);
            }
            fixture.arrive(
                    "next", RequestFixture.description("/chat", "m", Optional.empty(), "r0"));
            assertEquals("next", fixture.lastGeneration().request().value());
        }

        /**
         * Guards against quarantining a request after a single crash, because this instance's
         * detection of the crash and a peer's announcement of it are counted as two losses.
         */
        @Test
        void countsCrashOnceWhenPeerAnnouncesItToo() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            crash(first.server(), "i1");
            RequestCommand.AnnounceSuspects own =
                    fixture.lastOf(RequestCommand.AnnounceSuspects.class);
            fixture.post(new RequestEvent.SuspectsAnnounced(first.server(), own.fingerprints()));
            assertTrue(fixture.allOf(RequestCommand.QuarantineFingerprint.class).isEmpty());
            fixture.post(
                    new RequestEvent.SuspectsAnnounced(new ServerId("e9"), own.fingerprints()));
            assertEquals(1, fixture.allOf(RequestCommand.QuarantineFingerprint.class).size());
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.lastRefusal().reason());
        }

        /**
         * Guards against running a non-idempotent request twice, because it is retried after the
         * loss of its server like an idempotent one.
         */
        @Test
        void doesNotRetryNonIdempotentRequestWhoseServerIsLost() {
            fixture.arrive("r1", "/once", "m");
            crash(fixture.lastGeneration().server(), "i1");
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.lastRefusal().reason());
            assertEquals(1, sentGenerations());
        }

        /**
         * Guards against overlooking a server restart that is so fast that only the new incarnation
         * in the next report shows it.
         */
        @Test
        void treatsNewIncarnationInReportAsServerLoss() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.advance(10);
            fixture.reportServer(first.server(), "i2", 0, 0);
            assertEquals(1, fixture.allOf(RequestCommand.AnnounceSuspects.class).size());
            assertNotEquals(first.server(), fixture.lastGeneration().server());
        }
    }

    @Nested
    class Drain {
        /**
         * Guards against a planned stop that breaks off requests in progress or never ends, and
         * against reporting its end more than once.
         */
        @Test
        void completesRequestsInProgressThenReportsDrainedOnce() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.post(new RequestEvent.DrainStarted(fixture.now.plusSeconds(30)));
            fixture.arrive("r2", "/chat", "m");
            RequestCommand.SendGeneration second = fixture.lastGeneration();
            fixture.completeAttempt(first.attempt(), 0);
            assertTrue(fixture.allOf(RequestCommand.Drained.class).isEmpty());
            fixture.completeAttempt(second.attempt(), 0);
            fixture.advance(100);
            assertEquals(1, fixture.allOf(RequestCommand.Drained.class).size());
            assertEquals(2, fixture.allOf(RequestCommand.CompleteAnswer.class).size());
        }

        /** Guards against a process that never stops because one request stays in progress. */
        @Test
        void refusesRemainingRequestsAtDrainDeadline() {
            fixture.arrive("r1", "/chat", "cold");
            fixture.post(new RequestEvent.DrainStarted(fixture.now.plusSeconds(1)));
            fixture.advance(1_000);
            assertEquals(RefusalReason.NOT_READY, fixture.lastRefusal().reason());
            assertEquals(1, fixture.allOf(RequestCommand.Drained.class).size());
        }
    }
}
