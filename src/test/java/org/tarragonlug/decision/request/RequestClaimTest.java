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

/** Claims of non-idempotent requests. */
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

    private void findClaim(ClaimState state, OperationId operation, boolean working, String body) {
        fixture.post(
                new RequestEvent.ClaimFound(
                        request,
                        state,
                        operation,
                        new ProcessId("other"),
                        working,
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
        /** Guards against a call that is sent before its claim is recorded. */
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

        /** Guards against a claim that blocks the key although the call was never sent. */
        @Test
        void releasesClaimIfRequestEndedBeforeClaimWasAcquired() {
            fixture.advance(10_000);
            assertRefused(RefusalReason.DEADLINE_EXCEEDED, Execution.NOT_RUN);
            fixture.post(new RequestEvent.ClaimAcquired(request));
            assertEquals(
                    claim.operation(), fixture.lastOf(RequestCommand.ReleaseClaim.class).operation());
            assertEquals(0, calls());
        }

        /** Guards against a claim that stays STARTED after the server refused the call. */
        @Test
        void releasesClaimWhenServerRejectsCall() {
            fixture.post(new RequestEvent.ClaimAcquired(request));
            fixture.failAttempt(
                    fixture.lastOf(RequestCommand.SendCall.class).attempt(), AttemptFailure.REJECTED);
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
            assertEquals(1, fixture.allOf(RequestCommand.ReleaseClaim.class).size());
        }

        /** Guards against releasing the claim of a call that may have run. */
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

        /** Guards against a lost record of a call whose caller went while it ran. */
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

        /** Guards against sending a refused call again for a caller that has gone. */
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

        /** Guards against a call to a server that left while the claim was written. */
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

        /** Guards against running a request again that is recorded as done. */
        @Test
        void answersFromRecordWhenClaimIsDone() {
            findClaim(ClaimState.DONE, other, false, "r1");
            assertEquals(201, fixture.lastOf(RequestCommand.ForwardRecordedAnswer.class).status());
            assertEquals(0, calls());
        }

        /** Guards against running a request again that another process may have sent. */
        @Test
        void reportsOutcomeUnknownWhenClaimIsStarted() {
            findClaim(ClaimState.STARTED, other, false, "r1");
            assertRefused(RefusalReason.OUTCOME_UNKNOWN, Execution.MAY_HAVE_RUN);
        }

        /** Guards against a final answer while the first try is still in progress. */
        @Test
        void reportsDuplicateWhileClaimCreatorIsWorking() {
            findClaim(ClaimState.STARTED, other, true, "r1");
            assertRefused(RefusalReason.DUPLICATE_IN_PROGRESS, Execution.MAY_HAVE_RUN);
        }

        /** Guards against taking the own claim, whose write had a lost answer, for another's. */
        @Test
        void sendsCallWhenExistingClaimIsItsOwn() {
            findClaim(ClaimState.STARTED, claim.operation(), false, "r1");
            assertEquals(1, calls());
        }

        /** Guards against giving one request's recorded answer to another one. */
        @Test
        void refusesKeyReusedWithAnotherBody() {
            findClaim(ClaimState.DONE, other, false, "another body");
            assertRefused(RefusalReason.KEY_REUSED, Execution.NOT_RUN);
        }

        /** Guards against a released claim that blocks its key for a day. */
        @Test
        void takesOverReleasedClaimByItsVersion() {
            findClaim(ClaimState.RELEASED, other, false, "r1");
            assertEquals("v7", fixture.lastOf(RequestCommand.TakeOverClaim.class).version());
            assertEquals(0, calls());
            fixture.post(new RequestEvent.ClaimAcquired(request));
            assertEquals(1, calls());
        }

        /** Guards against two requests of one key that race at the same instance. */
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
        /** Guards against sending without a claim while the object API is down. */
        @Test
        void refusesAsNotRunWhenClaimIsUnavailable() {
            fixture.post(new RequestEvent.ClaimUnavailable(request));
            assertRefused(RefusalReason.CLAIM_UNAVAILABLE, Execution.NOT_RUN);
            assertEquals(Duration.ofSeconds(5), fixture.lastRefusal().retryAfter().orElseThrow());
        }

        /** Guards against a claim that appears later and blocks the key. */
        @Test
        void refusesAsNotRunAndReleasesClaimWhenWriteOutcomeIsUnknown() {
            fixture.post(new RequestEvent.ClaimOutcomeUnknown(request));
            assertRefused(RefusalReason.CLAIM_UNAVAILABLE, Execution.NOT_RUN);
            assertEquals(1, fixture.allOf(RequestCommand.ReleaseClaim.class).size());
        }
    }
}
