package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.runtime.ManualTimers;

class ServerAttemptTest {
    private static final Map<String, String> HEADERS =
            Map.of("tarragonlug-request-id", "r1", "tarragonlug-response-seal", "s");

    private static final CallPosition NEW_CONNECTION = new CallPosition(1, 0, false);
    private static final CallPosition KEPT_CONNECTION = new CallPosition(1, 1, false);

    /** Records the calls of the attempt to its listener. */
    private static final class Recorder implements AttemptListener {
        private final List<String> events = new ArrayList<>();

        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void onRejected(
                Rejection rejection, boolean namesRequest, Optional<ReportedLoad> load) {
            events.add("rejected " + rejection);
        }

        @Override
        public void onServerNotice(ServerNotice notice) {
            String pause = notice.pause().map(each -> " pause " + each.toMillis()).orElse("");
            events.add("notice" + (notice.leaving() ? " leaving" : "") + pause);
        }

        @Override
        public void onStreamStarted(Map<String, String> headers, Optional<ReportedLoad> load) {
            events.add("started");
        }

        @Override
        public void onStreamEvent(byte[] bytes, long id) {
            events.add("event " + id);
        }

        @Override
        public void onStreamCompleted(Optional<ReportedLoad> load) {
            events.add("completed");
        }

        @Override
        public void onAnswered(
                int status,
                Map<String, String> headers,
                HttpBody body,
                Optional<ReportedLoad> load) {
            events.add("answered " + status + " " + body.length());
        }

        @Override
        public void onAnsweredAmbiguously(int status, Optional<ReportedLoad> load) {
            events.add("ambiguous " + status);
        }

        @Override
        public void onBroken(AnswerProgress progress, String detail) {
            events.add("broken");
        }
    }

    private final Recorder recorder = new Recorder();

    private ServerAttempt attempt(boolean streaming, long lastEventId) {
        return new ServerAttempt(
                "r1", "server-1", streaming, lastEventId, recorder, new ManualTimers());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class Origin {
        @Test
        void reportsBrokenWhenAnswerHasIdOfAnotherRequest() {
            Map<String, String> headers = new HashMap<>(HEADERS);
            headers.put("tarragonlug-request-id", "r0");
            attempt(false, -1).onHead(200, headers);
            assertEquals(List.of("broken"), recorder.events);
        }

        @Test
        void reportsBrokenWhenSuccessfulAnswerHasNoSeal() {
            attempt(false, -1).onHead(200, Map.of("tarragonlug-request-id", "r1"));
            assertEquals(List.of("broken"), recorder.events);
        }

        @Test
        void reportsBrokenWhenSuccessfulAnswerIsEncoded() {
            Map<String, String> headers = new HashMap<>(HEADERS);
            headers.put("content-encoding", "gzip");
            attempt(false, -1).onHead(200, headers);
            assertEquals(List.of("broken"), recorder.events);
        }
    }

    @Nested
    class CompleteAnswers {
        @Test
        void deliversAnswerOnlyWhenComplete() {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("abc"));
            assertTrue(recorder.events.isEmpty());
            attempt.onCompleted();
            assertEquals(List.of("answered 200 3"), recorder.events);
        }

        @Test
        void reportsBrokenWhenConnectionIsLostWithinAnswer() {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("ab"));
            attempt.onFailed(new HttpFailure(HttpFailure.Kind.CONNECTION_LOST, "reset", null));
            assertEquals(List.of("broken"), recorder.events);
        }

        // Guards against a request that a server answers and that counts as never sent, so that it
        // is sent again or refused as not run.
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void answeredRequestDoesNotCountAsNotSent(boolean streaming) {
            ServerAttempt attempt = attempt(streaming, -1);
            attempt.onHead(200, HEADERS);
            recorder.events.clear();
            attempt.onFailed(new HttpFailure(HttpFailure.Kind.NOT_SENT, "closed", null));
            assertEquals(List.of("broken"), recorder.events);
        }
    }

    @Nested
    class Rejections {
        @Test
        void reportsRejectionWhenServerStatesNotExecuted() {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(
                    503, Map.of("tarragonlug-request-id", "r1", "tarragonlug-not-executed", "1"));
            attempt.onCompleted();
            assertEquals(List.of("rejected BUSY"), recorder.events);
        }

        // Guards against a status that callers take for the promise "not run" without the server's
        // statement, and against the loss of the connection on which such an answer came.
        @ParameterizedTest
        @ValueSource(ints = {408, 429, 503})
        void statusThatSaysNotRunIsAmbiguousWithoutTheStatement(int status) {
            for (Map<String, String> headers :
                    List.of(HEADERS, Map.of("tarragonlug-request-id", "r1"))) {
                recorder.events.clear();
                ServerAttempt attempt = attempt(false, -1);
                attempt.onHead(status, headers);
                attempt.onData(bytes("abc"));
                assertTrue(recorder.events.isEmpty());
                attempt.onCompleted();
                assertEquals(List.of("ambiguous " + status), recorder.events);
            }
        }

        // Guards against an answer that the server has made and that is taken for a refusal, so
        // that
        // its request runs again or is refused as not run: the statement belongs to refusals.
        @ParameterizedTest
        @ValueSource(ints = {200, 404, 500, 504})
        void statementUnderAStatusOfAServedRequestDoesNotCount(int status) {
            Map<String, String> headers = new HashMap<>(HEADERS);
            headers.put("tarragonlug-not-executed", "1");
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(status, headers);
            attempt.onCompleted();
            assertEquals(List.of("answered " + status + " 0"), recorder.events);
        }

        // Guards against the loss of a refusal that the server states.
        @ParameterizedTest
        @ValueSource(ints = {400, 408, 429, 503})
        void statementUnderAStatusOfARefusalCounts(int status) {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(
                    status,
                    Map.of("tarragonlug-request-id", "r1", "tarragonlug-not-executed", "1"));
            attempt.onCompleted();
            assertEquals(List.of("rejected BUSY"), recorder.events);
        }

        // Guards against the rejection of an earlier request, which a server writes once more.
        @Test
        void rejectionThatNamesNoRequestCountsOnlyOnNewConnection() {
            ServerAttempt kept = attempt(false, -1);
            kept.onSent(KEPT_CONNECTION);
            kept.onHead(503, Map.of("tarragonlug-not-executed", "1"));
            assertEquals(List.of("broken"), recorder.events);
            ServerAttempt first = attempt(false, -1);
            first.onSent(NEW_CONNECTION);
            first.onHead(503, Map.of("tarragonlug-not-executed", "1"));
            first.onCompleted();
            assertEquals(List.of("broken", "rejected BUSY"), recorder.events);
        }

        @Test
        void distinguishesWrongServerFromMissingModel() {
            Map<String, String> headers = new HashMap<>();
            headers.put("tarragonlug-request-id", "r1");
            headers.put("tarragonlug-instance-id", "server-2");
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(421, headers);
            attempt.onCompleted();
            headers.put("tarragonlug-instance-id", "server-1");
            ServerAttempt absent = attempt(false, -1);
            absent.onHead(421, headers);
            absent.onCompleted();
            assertEquals(
                    List.of("rejected WRONG_SERVER", "rejected MODEL_ABSENT"), recorder.events);
        }

        @Test
        void reportsUnreachableWhenConnectionNeverOpened() {
            attempt(false, -1)
                    .onFailed(new HttpFailure(HttpFailure.Kind.NOT_SENT, "refused", null));
            assertEquals(List.of("rejected UNREACHABLE"), recorder.events);
        }
    }

    /** What servers say about themselves with their answers. */
    @Nested
    class Notices {
        private static final Map<String, String> REJECTION =
                Map.of(
                        "tarragonlug-request-id", "r1",
                        "tarragonlug-not-executed", "1",
                        "server-leaving", "1",
                        "retry-after", "1.5");

        // Guards against a request that is sent to the server once more before its notice counts.
        @Test
        void noticeIsReportedBeforeTheRejection() {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(503, REJECTION);
            attempt.onCompleted();
            assertEquals(List.of("notice leaving pause 1500", "rejected BUSY"), recorder.events);
        }

        @Test
        void noticeOfStreamIsReportedWithItsHead() {
            Map<String, String> headers = new HashMap<>(HEADERS);
            headers.put("server-leaving", "1");
            attempt(true, -1).onHead(200, headers);
            assertEquals(List.of("notice leaving", "started"), recorder.events);
        }

        // Guards against leaving a server alone for what another one at its address says.
        @Test
        void noticeOfAnotherServerDoesNotCount() {
            Map<String, String> headers = new HashMap<>(REJECTION);
            headers.put("tarragonlug-instance-id", "server-2");
            ServerAttempt attempt = attempt(false, -1);
            attempt.onHead(421, headers);
            attempt.onCompleted();
            assertEquals(List.of("rejected WRONG_SERVER"), recorder.events);
        }

        // Guards against notices in bytes that belong to no request.
        @Test
        void noticeWithoutIdOnKeptConnectionDoesNotCount() {
            ServerAttempt attempt = attempt(false, -1);
            attempt.onSent(KEPT_CONNECTION);
            attempt.onHead(500, Map.of("server-leaving", "1"));
            attempt.onCompleted();
            assertEquals(List.of("broken"), recorder.events);
        }
    }

    @Nested
    class Streams {
        @Test
        void deliversOnlyCompleteEvents() {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 1\ndata: a\n\nid: 2\nda"));
            attempt.onData(bytes("ta: b\n\n"));
            attempt.onCompleted();
            assertEquals(List.of("started", "event 1", "event 2", "completed"), recorder.events);
        }

        // Guards against an answer without content that passes for the end of a stream.
        @Test
        void successOtherThanOkIsNoStream() {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(204, HEADERS);
            attempt.onCompleted();
            assertEquals(List.of("answered 204 0"), recorder.events);
        }

        @Test
        void reportsBrokenWhenStreamEndsWithinEvent() {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 1\ndata: a\n\nid: 2\nda"));
            attempt.onCompleted();
            assertEquals(List.of("started", "event 1", "broken"), recorder.events);
        }

        @Test
        void skipsEventsThatCallerHasAlreadyReceived() {
            ServerAttempt attempt = attempt(true, 2);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
            assertEquals(List.of("started", "event 3"), recorder.events);
        }

        // Guards against foreign bytes in the body of a stream that are passed on as events of it.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "data: b\n\n",
                    ": comment\n\n",
                    "id: two\ndata: b\n\n",
                    "id: -1\ndata: b\n\n",
                    "HTTP/1.1 503 X\nid: 2\ndata: b\n\n",
                    "id: 2\ndata: \u00ff\n\n"
                })
        void reportsBrokenWhenBytesAreNoEvent(String foreign) {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 1\ndata: a\n\n"));
            attempt.onData(foreign.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(List.of("started", "event 1", "broken"), recorder.events);
        }

        // Guards against bytes without an end of an event that are kept until memory is used up.
        @Test
        void reportsBrokenWhenEventDoesNotEnd() {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 1\ndata: " + "x".repeat(100_000)));
            assertEquals(List.of("started", "broken"), recorder.events);
        }

        // Guards against an event of any size that arrives at once.
        @Test
        void reportsBrokenWhenCompleteEventIsTooLarge() {
            ServerAttempt attempt = attempt(true, -1);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 1\ndata: " + "x".repeat(100_000) + "\n\n"));
            assertEquals(List.of("started", "broken"), recorder.events);
        }

        @Test
        void reportsBrokenWhenResumedStreamSkipsEvent() {
            ServerAttempt attempt = attempt(true, 2);
            attempt.onHead(200, HEADERS);
            attempt.onData(bytes("id: 4\ndata: d\n\n"));
            assertEquals(List.of("started", "broken"), recorder.events);
        }
    }
}
