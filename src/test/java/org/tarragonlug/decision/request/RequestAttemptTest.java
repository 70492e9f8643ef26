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

/** Attempts: streams, retries, silence, crashes and the drain. */
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
        /** Guards against lost or doubled tokens when a stream is resumed. */
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

        /** Guards against an answer with a hole that is passed on as whole. */
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

        /** Guards against an engine that works on for nobody when a cancellation was lost. */
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
        /** Guards against callers that wait for a connection that will never speak again. */
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

        /** Guards against waiting on a server that nobody can reach. */
        @Test
        void retriesOnAnotherServerWhenServerIsUnreachable() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.advance(1_005);
            fixture.post(new RequestEvent.ServerUnreachable(first.server()));
            assertNotEquals(first.server(), fixture.lastGeneration().server());
            assertEquals(2, sentGenerations());
        }

        /** Guards against one check after another for calls that merely take long. */
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

        /** Guards against sending a non-idempotent call again because it is silent. */
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
        /** Guards against a retry storm that multiplies the load on failing servers. */
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
            assertTrue(sentGenerations() <= requests + requests / 10 + 3, "sent " + sentGenerations());
        }

        /** Guards against repeating a request that may have run and must not run twice. */
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

        /** Guards against "may have run" for what was certainly rejected. */
        @Test
        void reportsRejectedRequestAsNotRun() {
            fixture.arrive("r1", "/once", "m");
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.REJECTED);
            assertEquals(RefusalReason.REJECTED_BY_BACKEND, fixture.lastRefusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
        }

        /** Guards against a retry that asks for the whole timeout once more. */
        @Test
        void sendsRetryWithRemainingTime() {
            fixture.arrive("r1", "/chat", "m");
            fixture.advance(500);
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.NOT_SENT);
            assertEquals(Duration.ofMillis(9_500), fixture.lastGeneration().remaining());
        }

        /** Guards against a server that refuses at once and so attracts every request. */
        @Test
        void pausesServerAfterOverloadRejection() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.lastGeneration().server();
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.REFUSED_OVERLOADED);
            for (int index = 2; index < 10; index++) {
                assertNotEquals(server, fixture.lastGeneration().server());
                fixture.arrive("r" + index, "/chat", "m");
            }
        }

        /** Guards against sending to a server that has unloaded the model. */
        @Test
        void excludesServerThatHasNotLoadedTheModel() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.lastGeneration().server();
            fixture.failAttempt(fixture.lastGeneration().attempt(), AttemptFailure.REFUSED_NOT_LOADED);
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

        /** Guards against one request that takes down one server after the other. */
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

        /** Guards against condemning harmless requests that ran beside the crashing one. */
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

        /** Guards against counting one crash twice when a peer announces it as well. */
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

        /** Guards against repeating a non-idempotent request whose server was lost. */
        @Test
        void doesNotRetryNonIdempotentRequestWhoseServerIsLost() {
            fixture.arrive("r1", "/once", "m");
            crash(fixture.lastGeneration().server(), "i1");
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.lastRefusal().reason());
            assertEquals(1, sentGenerations());
        }

        /** Guards against a restart that is seen only by the new incarnation in a report. */
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
        /** Guards against a planned stop that cuts requests or never ends. */
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

        /** Guards against a process that stays for ever because one request hangs. */
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
