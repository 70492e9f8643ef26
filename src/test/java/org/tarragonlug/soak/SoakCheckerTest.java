package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestId;

/** Guards against checks that let pass what they are there to find, or find what is allowed. */
class SoakCheckerTest {
    private static final RequestId ID = new RequestId("c1-1-1");

    private final SoakChecker checker = new SoakChecker();

    private void assertFound(Check... checks) {
        assertEquals(List.of(checks), checker.findings().stream().map(Finding::check).toList());
    }

    private static CallerAnswer answer(int status, String body, boolean complete) {
        Map<String, String> headers =
                Map.of(
                        "tarragonlug-request-id",
                        ID.value(),
                        "tarragonlug-response-seal",
                        "seal." + ID);
        return new CallerAnswer(status, headers, body, complete);
    }

    @Nested
    class Runs {
        // Guards against a second run that is not seen.
        @Test
        void secondRunOfNonIdempotentRequestIsFound() {
            checker.onSent(ID, RequestKind.ISSUE, 0);
            checker.onBegun(ID, "a", "records", 1);
            assertFound();
            checker.onBegun(ID, "b", "records", 2);
            assertFound(Check.RUN_ONCE);
        }

        // Guards against findings for requests that may be repeated.
        @Test
        void secondRunOfIdempotentRequestIsAllowed() {
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onBegun(ID, "a", "records", 1);
            checker.onBegun(ID, "b", "records", 2);
            assertFound();
        }

        // Guards against a run that is missed because it begins after the refusal.
        @Test
        void refusedRequestMustNotRunBeforeOrLater() {
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onAnswer(ID, answer(503, "", true));
            assertFound();
            checker.onBegun(ID, "a", "records", 1);
            assertFound(Check.REFUSED_IS_NOT_RUN);
        }

        // Guards against a refusal that is missed because it comes after the run.
        @Test
        void requestThatRanMustNotBeRefused() {
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onBegun(ID, "a", "records", 1);
            checker.onAnswer(ID, answer(429, "", true));
            assertFound(Check.REFUSED_IS_NOT_RUN);
        }

        // Guards against runs at a server that has the address of another service's server.
        @Test
        void runAtAnotherServiceOrOfAnUnknownRequestIsFound() {
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onBegun(ID, "a", "ledger", 1);
            checker.onBegun(new RequestId("unknown"), "a", "ledger", 1);
            assertFound(Check.OWN_SERVICE, Check.SENT_BY_A_CALLER);
        }
    }

    @Nested
    class Returns {
        private void sendAndRefuse() {
            checker.onSent(ID, RequestKind.ISSUE, 0);
            checker.onAnswer(ID, answer(503, "", true));
        }

        // Guards against findings for callers that send a refused id again.
        @Test
        void requestMayBeginAfterItsCallerHasSentItAgain() {
            sendAndRefuse();
            sendAndRefuse();
            checker.onSent(ID, RequestKind.ISSUE, 1);
            checker.onBegun(ID, "a", "records", 1);
            checker.onAnswer(ID, answer(200, AnswerContent.body(ID), true));
            assertFound();
        }

        // Guards against a second run that is not seen since each send had one.
        @Test
        void runsOfAllSendsCountTogether() {
            sendAndRefuse();
            checker.onSent(ID, RequestKind.ISSUE, 1);
            checker.onBegun(ID, "a", "records", 1);
            checker.onBegun(ID, "b", "records", 2);
            assertFound(Check.RUN_ONCE);
        }

        // Guards against a promise that passes since another send of the id had begun.
        @Test
        void promiseMustNotFollowTheBeginOfAnEarlierSend() {
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onBegun(ID, "a", "records", 1);
            checker.onSent(ID, RequestKind.READ, 0);
            assertFound();
            checker.onAnswer(ID, answer(503, "", true));
            assertFound(Check.REFUSED_IS_NOT_RUN);
        }

        // Guards against a begin that passes after the last promise since the id came again before.
        @Test
        void requestMustNotBeginAfterTheLastPromise() {
            sendAndRefuse();
            sendAndRefuse();
            checker.onBegun(ID, "a", "records", 1);
            assertFound(Check.REFUSED_IS_NOT_RUN);
        }

        // Guards against time that is excused by the pause of a gateway that a caller has left.
        @Test
        void pausesOfTheLastGatewayCount() {
            long limit = RequestKind.ISSUE.deadlineMillis() + SoakChecker.DEADLINE_SLACK_MILLIS;
            sendAndRefuse();
            checker.onSent(ID, RequestKind.ISSUE, 1);
            checker.onPaused(0, 100);
            checker.onResumed(0, 200);
            checker.onEnded(ID, 0, limit + 1);
            assertFound(Check.ENDS_IN_TIME);
        }
    }

    @Nested
    class Streams {
        private void goOnAfter(long workedOnMillis) {
            checker.onSent(ID, RequestKind.ASK, 0);
            checker.onBegun(ID, "a", "engines", 0);
            checker.onBegun(ID, "b", "engines", 1000);
            checker.onRunEnded(ID, "a", 1000 + workedOnMillis);
            checker.onRunEnded(ID, "b", 2000);
        }

        // Guards against two servers that work on one stream for long.
        @Test
        void workAtTheFirstServerMustEndSoon() {
            goOnAfter(SoakChecker.STREAM_OVERLAP_MILLIS + 1);
            assertFound(Check.STREAM_AT_ONE_SERVER);
        }

        // Guards against findings while the end of the first run is under way.
        @Test
        void shortOverlapIsAllowed() {
            goOnAfter(SoakChecker.STREAM_OVERLAP_MILLIS);
            assertFound();
        }

        // Guards against findings that only a paused gateway causes.
        @Test
        void pauseOfTheGatewayIsExcused() {
            checker.onPaused(0, 1100);
            checker.onResumed(0, 1300);
            goOnAfter(SoakChecker.STREAM_OVERLAP_MILLIS + 100);
            assertFound();
        }
    }

    @Nested
    class Answers {
        // Guards against foreign, spliced and repeated bytes, and against missing events.
        @Test
        void successMustBeTheCallersOwnAndWhole() {
            checker.onSent(ID, RequestKind.ASK, 0);
            String whole = AnswerContent.events(ID);
            checker.onAnswer(ID, answer(200, whole, true));
            checker.onAnswer(ID, answer(200, AnswerContent.event(ID, 1), false));
            assertFound();
            checker.onAnswer(ID, answer(200, AnswerContent.event(ID, 1), true));
            checker.onAnswer(ID, answer(200, AnswerContent.event(ID, 2), false));
            checker.onAnswer(ID, answer(200, whole + whole, true));
            assertFound(Check.WHOLE_ANSWER, Check.WHOLE_ANSWER, Check.WHOLE_ANSWER);
        }

        // Guards against the answer to another request.
        @Test
        void answerMustNameItsRequest() {
            checker.onSent(ID, RequestKind.READ, 0);
            Map<String, String> other = Map.of("tarragonlug-request-id", "c2-1-1");
            checker.onAnswer(ID, new CallerAnswer(500, other, "", true));
            checker.onAnswer(ID, new CallerAnswer(200, Map.of(), AnswerContent.body(ID), true));
            checker.onAnswer(ID, answer(404, "", true));
            assertFound(Check.OWN_ANSWER, Check.OWN_ANSWER, Check.PROPER_STATUS);
        }

        // Guards against requests that hang, and against findings for time in a paused gateway.
        @Test
        void requestMustEndByItsDeadline() {
            long limit = RequestKind.READ.deadlineMillis() + SoakChecker.DEADLINE_SLACK_MILLIS;
            checker.onSent(ID, RequestKind.READ, 0);
            checker.onPaused(0, 100);
            checker.onResumed(0, 200);
            checker.onEnded(ID, 0, limit + 100);
            assertFound();
            checker.onEnded(ID, 0, limit + 101);
            assertFound(Check.ENDS_IN_TIME);
        }
    }
}
