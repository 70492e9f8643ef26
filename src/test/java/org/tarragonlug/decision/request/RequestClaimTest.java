package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.measure.RequestSimulation;

/** Tests the claims of non-idempotent requests. */
class RequestClaimTest {
    private final RequestFixture fixture = new RequestFixture();
    private RequestId request;
    private RequestCommand.CreateClaim claim;

    @BeforeEach
    void arrive() {
        request = fixture.arrive("r1", "/book", "", RequestFixture.TIMEOUT, Optional.of("k"));
        claim = fixture.lastOf(RequestCommand.CreateClaim.class);
    }

    @AfterEach
    void assertNoInvariantViolated() {
        assertEquals(List.of(), fixture.violations);
    }

    private int calls() {
        return fixture.allOf(RequestCommand.SendCall.class).size();
    }

    private void findClaim(
            ClaimState state, OperationId operation, boolean inProgress, String body) {
        fixture.post(
                new RequestEvent.ClaimFound(
                        request,
                        state,
                        operation,
                        new ProcessId("other"),
                        inProgress,
                        new Fingerprint(body),
                        201,
                        "v7"));
    }

    private void assertRefused(RefusalReason reason, Execution execution) {
        assertEquals(reason, fixture.lastRefusal().reason());
        assertEquals(execution, fixture.lastRefusal().execution());
        assertEquals(0, calls());
    }

    @Nested
    class AcquiredClaim {
        /**
         * Guards against a non-idempotent call that runs twice, because it is sent before its claim
         * is recorded or because its answer is not recorded in the claim.
         */
        @Test
        void sendsCallAfterClaimIsAcquiredAndRecordsAnswer() {
            assertEquals(0, calls());
            fixture.post(new RequestEvent.ClaimAcquired(request));
            RequestCommand.SendCall call = fixture.lastOf(RequestCommand.SendCall.class);
            fixture.post(new RequestEvent.AttemptAnswered(call.attempt(), 201));
            RequestCommand.FinishClaim finish = fixture.lastOf(RequestCommand.FinishClaim.class);
            assertEquals(claim.operation(), finish.operation());
            assertEquals(201, fixture.lastOf(RequestCommand.ForwardAnswer.class).status());
        }

        /**
         * Guards against a claim that blocks its key although the call was never sent, because the
         * request expired while the claim was being written.
         */
        @Test
        void releasesClaimIfRequestEndedBeforeClaimWasAcquired() {
            fixture.advance(10_000);
            assertRefused(RefusalReason.DEADLINE_EXCEEDED, Execution.NOT_RUN);
            fixture.post(new RequestEvent.ClaimAcquired(request));
            assertEquals(
                    claim.operation(),
                    fixture.lastOf(RequestCommand.ReleaseClaim.class).operation());
            assertEquals(0, calls());
        }

        /**
         * Guards against a claim that stays in state STARTED and blocks its key after the server
         * rejected the call without running it.
         */
        @Test
        void releasesClaimWhenServerRejectsCall() {
            fixture.post(new RequestEvent.ClaimAcquired(request));
            fixture.failAttempt(
                    fixture.lastOf(RequestCommand.SendCall.class).attempt(),
                    AttemptFailure.REJECTED);
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
            assertEquals(1, fixture.allOf(RequestCommand.ReleaseClaim.class).size());
        }

        /**
         * Guards against releasing the claim of a call whose connection was lost: the call may have
         * run, and a retry of the caller would then run it again.
         */
        @Test
        void keepsClaimWhenCallMayHaveRun() {
            fixture.post(new RequestEvent.ClaimAcquired(request));
            fixture.failAttempt(
                    fixture.lastOf(RequestCommand.SendCall.class).attempt(),
                    AttemptFailure.CONNECTION_LOST);
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, fixture.lastRefusal().reason());
            assertTrue(fixture.allOf(RequestCommand.ReleaseClaim.class).isEmpty());
            assertEquals(1, calls());
        }

        /**
         * Guards against a claim without the recorded answer, because the caller disconnected while
         * the call was running.
         */
        @Test
        void recordsAnswerAfterCallerDisconnects() {
            fixture.post(new RequestEvent.ClaimAcquired(request));
            fixture.post(new RequestEvent.CallerDisconnected(request));
            fixture.post(
                    new RequestEvent.AttemptAnswered(
                            fixture.lastOf(RequestCommand.SendCall.class).attempt(), 200));
            assertEquals(1, fixture.allOf(RequestCommand.FinishClaim.class).size());
            assertTrue(fixture.allOf(RequestCommand.ForwardAnswer.class).isEmpty());
            assertEquals(1, fixture.allOf(RequestCommand.DiscardRequest.class).size());
        }

        /**
         * Guards against retrying a rejected call for a caller that has disconnected and needs no
         * answer.
         */
        @Test
        void doesNotRetryRejectedCallAfterCallerDisconnects() {
            fixture.post(new RequestEvent.ClaimAcquired(request));
            fixture.post(new RequestEvent.CallerDisconnected(request));
            fixture.failAttempt(
                    fixture.lastOf(RequestCommand.SendCall.class).attempt(),
                    AttemptFailure.REFUSED_LEAVING);
            assertEquals(1, calls());
            assertEquals(1, fixture.allOf(RequestCommand.ReleaseClaim.class).size());
        }

        /**
         * Guards against sending a call to a server that began to leave while the claim was being
         * written.
         */
        @Test
        void sendsCallToAnotherServerIfReservedServerLeaves() {
            fixture.setServers(RequestSimulation.SERVICES, List.of("s1", "s2"), "s1");
            fixture.post(new RequestEvent.ClaimAcquired(request));
            assertEquals("s2", fixture.lastOf(RequestCommand.SendCall.class).server().value());
            assertEquals(1, fixture.allOf(RequestCommand.CreateClaim.class).size());
        }
    }

    @Nested
    class ExistingClaim {
        private final OperationId other = new OperationId("other-1");

        /** Guards against running a call again although an existing claim records its answer. */
        @Test
        void answersFromRecordWhenClaimIsDone() {
            findClaim(ClaimState.DONE, other, false, "r1");
            assertEquals(201, fixture.lastOf(RequestCommand.ForwardRecordedAnswer.class).status());
            assertEquals(0, calls());
        }

        /**
         * Guards against running a call again although another process created the claim and may
         * have sent the call.
         */
        @Test
        void reportsOutcomeUnknownWhenClaimIsStarted() {
            findClaim(ClaimState.STARTED, other, false, "r1");
            assertRefused(RefusalReason.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
        }

        /**
         * Guards against reporting an unknown outcome while the first try of the request is still
         * in progress at another process.
         */
        @Test
        void reportsDuplicateWhileClaimCreatorIsWorking() {
            findClaim(ClaimState.STARTED, other, true, "r1");
            assertRefused(RefusalReason.DUPLICATE_IN_PROGRESS, Execution.MAY_HAVE_RUN);
        }

        /**
         * Guards against treating the request's own claim as that of another process. This occurs
         * if the claim was written but the answer to the write was lost, so that a repeated write
         * finds the claim.
         */
        @Test
        void sendsCallWhenExistingClaimIsItsOwn() {
            findClaim(ClaimState.STARTED, claim.operation(), false, "r1");
            assertEquals(1, calls());
        }

        /**
         * Guards against answering a request with the recorded answer of another request that used
         * the same key with another body.
         */
        @Test
        void refusesKeyReusedWithAnotherBody() {
            findClaim(ClaimState.DONE, other, false, "another body");
            assertRefused(RefusalReason.KEY_REUSED, Execution.NOT_RUN);
        }

        /**
         * Guards against a released claim that blocks its key for a day, because a new request with
         * the key does not take it over.
         */
        @Test
        void takesOverReleasedClaimByItsVersion() {
            findClaim(ClaimState.RELEASED, other, false, "r1");
            assertEquals("v7", fixture.lastOf(RequestCommand.TakeOverClaim.class).version());
            assertEquals(0, calls());
            fixture.post(new RequestEvent.ClaimAcquired(request));
            assertEquals(1, calls());
        }

        /**
         * Guards against running a call twice, because two requests with the same key arrive at the
         * same instance at the same time.
         */
        @Test
        void refusesSecondRequestWithSameKeyAtSameInstance() {
            fixture.arrive("r2", RequestFixture.description("/book", "", Optional.of("k"), "r1"));
            assertRefused(RefusalReason.DUPLICATE_IN_PROGRESS, Execution.MAY_HAVE_RUN);
            fixture.arrive(
                    "r3", RequestFixture.description("/book", "", Optional.of("k"), "other"));
            assertRefused(RefusalReason.KEY_REUSED, Execution.NOT_RUN);
        }
    }

    @Nested
    class UnrecordedClaim {
        /** Guards against sending a call without a claim while the object API is unavailable. */
        @Test
        void refusesAsNotRunWhenClaimIsUnavailable() {
            fixture.post(new RequestEvent.ClaimUnavailable(request));
            assertRefused(RefusalReason.CLAIM_UNAVAILABLE, Execution.NOT_RUN);
            assertEquals(Duration.ofSeconds(5), fixture.lastRefusal().retryAfter().orElseThrow());
        }

        /**
         * Guards against a claim that blocks its key, because its write takes effect only after the
         * request was refused.
         */
        @Test
        void refusesAsNotRunAndReleasesClaimWhenWriteOutcomeIsUnknown() {
            fixture.post(new RequestEvent.ClaimOutcomeUnknown(request));
            assertRefused(RefusalReason.CLAIM_UNAVAILABLE, Execution.NOT_RUN);
            assertEquals(1, fixture.allOf(RequestCommand.ReleaseClaim.class).size());
        }
    }
}
