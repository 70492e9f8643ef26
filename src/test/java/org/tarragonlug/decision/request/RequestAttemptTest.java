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
    void noInvariantWasViolated() {
        assertEquals(List.of(), fixture.violations);
    }

    private List<Integer> forwardedOffsets() {
        return fixture.all(RequestCommand.ForwardToken.class).stream()
                .map(RequestCommand.ForwardToken::offset)
                .toList();
    }

    private int sends() {
        return fixture.all(RequestCommand.SendGeneration.class).size();
    }

    @Nested
    class BrokenStream {
        /** Guards against lost or doubled tokens when a stream is resumed. */
        @Test
        void resumesAtItsOffsetOnTheSameServer() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.token(first.attempt(), 0);
            fixture.token(first.attempt(), 1);
            fixture.fail(first.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(first.server(), fixture.last(RequestCommand.CheckServer.class).server());
            assertEquals(1, sends());
            fixture.report(first.server(), "i1", 0, 0);
            RequestCommand.SendGeneration second = fixture.sent();
            assertEquals(first.server(), second.server());
            assertEquals(2, second.resumeOffset());
            fixture.token(first.attempt(), 2);
            fixture.token(second.attempt(), 1);
            fixture.token(second.attempt(), 2);
            fixture.complete(second.attempt(), 3);
            assertEquals(List.of(0, 1, 2), forwardedOffsets());
            assertEquals(3, fixture.last(RequestCommand.CompleteAnswer.class).tokens());
        }

        /** Guards against an answer with a hole that is passed on as whole. */
        @Test
        void resumesAfterMissingToken() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.token(first.attempt(), 0);
            fixture.token(first.attempt(), 2);
            assertEquals(
                    first.attempt(), fixture.last(RequestCommand.CancelAttempt.class).attempt());
            fixture.report(first.server(), "i1", 0, 0);
            RequestCommand.SendGeneration second = fixture.sent();
            assertEquals(1, second.resumeOffset());
            fixture.token(second.attempt(), 1);
            fixture.complete(second.attempt(), 3);
            fixture.report(first.server(), "i1", 0, 0);
            assertEquals(2, fixture.sent().resumeOffset());
            assertTrue(fixture.all(RequestCommand.CompleteAnswer.class).isEmpty());
        }

        /** Guards against an engine that works on for nobody when a cancellation was lost. */
        @Test
        void cancelsAgainOnLateToken() {
            fixture.arrive("r1", "/chat", "m", Duration.ofSeconds(1), Optional.empty());
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.advance(1_000);
            assertEquals(RefusalReason.DEADLINE_EXCEEDED, fixture.refusal().reason());
            assertEquals(Execution.MAY_HAVE_RUN, fixture.refusal().execution());
            fixture.token(first.attempt(), 0);
            fixture.token(first.attempt(), 1);
            assertEquals(2, fixture.all(RequestCommand.CancelAttempt.class).size());
            assertEquals(List.of(), forwardedOffsets());
        }
    }

    @Nested
    class SilentConnection {
        /** Guards against callers that wait for a connection that will never speak again. */
        @Test
        void resumesAfterProgressDeadline() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.token(first.attempt(), 0);
            fixture.advance(995);
            assertEquals(0, fixture.all(RequestCommand.CancelAttempt.class).size());
            fixture.advance(10);
            assertEquals(1, fixture.all(RequestCommand.CancelAttempt.class).size());
            fixture.report(first.server(), "i1", 0, 0);
            assertEquals(1, fixture.sent().resumeOffset());
            assertEquals(2, sends());
        }

        /** Guards against waiting on a server that nobody can reach. */
        @Test
        void goesElsewhereIfTheServerIsUnreachable() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.advance(1_005);
            fixture.post(new RequestEvent.ServerUnreachable(first.server()));
            assertNotEquals(first.server(), fixture.sent().server());
            assertEquals(2, sends());
        }

        /** Guards against one check after another for calls that merely take long. */
        @Test
        void recentReportsMakeChecksUnnecessary() {
            for (int index = 0; index < 8; index++) {
                fixture.arrive("r" + index, "/read", "");
            }
            for (int round = 0; round < 30; round++) {
                fixture.advance(100);
                fixture.report(new ServerId("s1"), "i1", 4, 0);
                fixture.report(new ServerId("s2"), "i1", 4, 0);
            }
            assertTrue(fixture.all(RequestCommand.CheckServer.class).isEmpty());
        }

        /** Guards against sending a non-idempotent call again because it is silent. */
        @Test
        void nonIdempotentCallEndsAtItsDeadline() {
            fixture.arrive("r1", "/book", "", Duration.ofSeconds(8), Optional.empty());
            fixture.advance(7_900);
            assertTrue(fixture.all(RequestCommand.Refuse.class).isEmpty());
            fixture.advance(100);
            assertEquals(Execution.MAY_HAVE_RUN, fixture.refusal().execution());
            assertEquals(1, fixture.all(RequestCommand.SendCall.class).size());
        }
    }

    @Nested
    class Retry {
        /** Guards against a retry storm that multiplies the load on failing servers. */
        @Test
        void budgetBoundsRetries() {
            int requests = 200;
            for (int index = 0; index < requests; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                RequestCommand.SendGeneration last = null;
                while (fixture.sent() != last) {
                    last = fixture.sent();
                    fixture.fail(last.attempt(), AttemptFailure.SERVER_ERROR);
                    fixture.report(last.server(), "i1", 0, 0);
                }
                assertEquals(RefusalReason.BACKEND_FAILED, fixture.refusal().reason());
                assertEquals(Execution.MAY_HAVE_RUN, fixture.refusal().execution());
            }
            assertTrue(sends() <= requests + requests / 10 + 3, "sent " + sends());
        }

        /** Guards against repeating a request that may have run and must not run twice. */
        @Test
        void nonIdempotentIsRetriedOnlyIfItDidNotRun() {
            fixture.arrive("r1", "/once", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.fail(first.attempt(), AttemptFailure.NOT_SENT);
            RequestCommand.SendGeneration second = fixture.sent();
            assertNotEquals(first.server(), second.server());
            fixture.fail(second.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(2, sends());
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.refusal().reason());
            assertEquals(Execution.MAY_HAVE_RUN, fixture.refusal().execution());
        }

        /** Guards against "may have run" for what was certainly rejected. */
        @Test
        void rejectionIsNotRun() {
            fixture.arrive("r1", "/once", "m");
            fixture.fail(fixture.sent().attempt(), AttemptFailure.REJECTED);
            assertEquals(RefusalReason.REJECTED_BY_BACKEND, fixture.refusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.refusal().execution());
        }

        /** Guards against a retry that asks for the whole timeout once more. */
        @Test
        void retryHasTheRemainingDeadline() {
            fixture.arrive("r1", "/chat", "m");
            fixture.advance(500);
            fixture.fail(fixture.sent().attempt(), AttemptFailure.NOT_SENT);
            assertEquals(Duration.ofMillis(9_500), fixture.sent().remaining());
        }

        /** Guards against a server that refuses at once and so attracts every request. */
        @Test
        void overloadedServerIsPaused() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.sent().server();
            fixture.fail(fixture.sent().attempt(), AttemptFailure.REFUSED_OVERLOADED);
            for (int index = 2; index < 10; index++) {
                assertNotEquals(server, fixture.sent().server());
                fixture.arrive("r" + index, "/chat", "m");
            }
        }

        /** Guards against sending to a server that has unloaded the model. */
        @Test
        void notLoadedTakesTheServerOutOfTheReplicas() {
            fixture.arrive("r1", "/chat", "m");
            ServerId server = fixture.sent().server();
            fixture.fail(fixture.sent().attempt(), AttemptFailure.REFUSED_NOT_LOADED);
            for (int index = 2; index < 10; index++) {
                assertNotEquals(server, fixture.sent().server());
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
        void isCondemnedAtTheSecondLoss() {
            fixture.arrive("bad", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.fail(first.attempt(), AttemptFailure.CONNECTION_LOST);
            assertEquals(1, sends());
            crash(first.server(), "i1");
            RequestCommand.SendGeneration second = fixture.sent();
            assertNotEquals(first.server(), second.server());
            assertEquals(
                    1, fixture.last(RequestCommand.AnnounceSuspects.class).fingerprints().size());
            crash(second.server(), "i1");
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.refusal().reason());
            assertEquals(1, fixture.all(RequestCommand.QuarantineFingerprint.class).size());
            fixture.arrive(
                    "again", RequestFixture.description("/chat", "m", Optional.empty(), "bad"));
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.refusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.refusal().execution());
            assertEquals(2, sends());
        }

        /** Guards against condemning harmless requests that ran beside the crashing one. */
        @Test
        void harmlessSuspectsRunIsolatedAndAreCleared() {
            List<RequestCommand.SendGeneration> sent = new ArrayList<>();
            for (int index = 0; index < 9; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                sent.add(fixture.sent());
            }
            ServerId lost = RequestFixture.E1;
            List<RequestCommand.SendGeneration> suspects =
                    sent.stream().filter(send -> send.server().equals(lost)).toList();
            assertTrue(suspects.size() >= 3, "spread " + sent);
            crash(lost, "i1");
            assertEquals(9 + 2, sends());
            while (sends() < 9 + suspects.size()) {
                int before = sends();
                fixture.complete(fixture.sent().attempt(), 0);
                assertEquals(before + 1, sends());
            }
            for (RequestCommand.SendGeneration send :
                    fixture.all(RequestCommand.SendGeneration.class)) {
                fixture.complete(send.attempt(), 0);
            }
            fixture.arrive(
                    "next", RequestFixture.description("/chat", "m", Optional.empty(), "r0"));
            assertEquals("next", fixture.sent().request().value());
        }

        /** Guards against counting one crash twice when a peer announces it as well. */
        @Test
        void announcementOfTheSameCrashCountsOnce() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            crash(first.server(), "i1");
            RequestCommand.AnnounceSuspects own =
                    fixture.last(RequestCommand.AnnounceSuspects.class);
            fixture.post(new RequestEvent.SuspectsAnnounced(first.server(), own.fingerprints()));
            assertTrue(fixture.all(RequestCommand.QuarantineFingerprint.class).isEmpty());
            fixture.post(
                    new RequestEvent.SuspectsAnnounced(new ServerId("e9"), own.fingerprints()));
            assertEquals(1, fixture.all(RequestCommand.QuarantineFingerprint.class).size());
            assertEquals(RefusalReason.REQUEST_QUARANTINED, fixture.refusal().reason());
        }

        /** Guards against repeating a non-idempotent request whose server was lost. */
        @Test
        void nonIdempotentSuspectIsNotRetried() {
            fixture.arrive("r1", "/once", "m");
            crash(fixture.sent().server(), "i1");
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.refusal().reason());
            assertEquals(1, sends());
        }

        /** Guards against a restart that is seen only by the new incarnation in a report. */
        @Test
        void newIncarnationIsALoss() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.advance(10);
            fixture.report(first.server(), "i2", 0, 0);
            assertEquals(1, fixture.all(RequestCommand.AnnounceSuspects.class).size());
            assertNotEquals(first.server(), fixture.sent().server());
        }
    }

    @Nested
    class Drain {
        /** Guards against a planned stop that cuts requests or never ends. */
        @Test
        void finishesWhatIsInProgressThenReportsOnce() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.sent();
            fixture.post(new RequestEvent.DrainStarted(fixture.now.plusSeconds(30)));
            fixture.arrive("r2", "/chat", "m");
            RequestCommand.SendGeneration second = fixture.sent();
            fixture.complete(first.attempt(), 0);
            assertTrue(fixture.all(RequestCommand.Drained.class).isEmpty());
            fixture.complete(second.attempt(), 0);
            fixture.advance(100);
            assertEquals(1, fixture.all(RequestCommand.Drained.class).size());
            assertEquals(2, fixture.all(RequestCommand.CompleteAnswer.class).size());
        }

        /** Guards against a process that stays for ever because one request hangs. */
        @Test
        void refusesTheRestAtItsLimit() {
            fixture.arrive("r1", "/chat", "cold");
            fixture.post(new RequestEvent.DrainStarted(fixture.now.plusSeconds(1)));
            fixture.advance(1_000);
            assertEquals(RefusalReason.NOT_READY, fixture.refusal().reason());
            assertEquals(1, fixture.all(RequestCommand.Drained.class).size());
        }
    }
}
