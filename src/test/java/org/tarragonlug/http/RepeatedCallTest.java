package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that are made again after a server has refused them. */
class RepeatedCallTest {
    private static final int REFUSED = 503;
    private static final int DONE = 200;

    private final LoopbackFixture loopback = new LoopbackFixture();

    @AfterEach
    void close() throws Exception {
        loopback.close();
    }

    /** Collects the status of an answer and the connection on which the call was sent. */
    private static final class Recorder implements HttpReceiver {
        private final CompletableFuture<Integer> result = new CompletableFuture<>();
        private int status;
        private CallPosition position;

        @Override
        public void onSent(CallPosition sentAt) {
            position = sentAt;
        }

        @Override
        public void onHead(int code, Map<String, String> headers) {
            status = code;
        }

        @Override
        public void onData(byte[] part) {}

        @Override
        public void onCompleted() {
            result.complete(status);
        }

        @Override
        public void onFailed(HttpFailure failure) {
            result.completeExceptionally(failure);
        }
    }

    private Recorder call(RepeatingServer server, String name) throws Exception {
        HttpCall call =
                new HttpCall(
                        "GET",
                        "/a",
                        Map.of(),
                        HttpBody.EMPTY,
                        LoopbackFixture.LONG_TIMEOUT,
                        ConnectionUse.POOLED,
                        Optional.of(new AnswerName("request-id", name)));
        Recorder recorder = new Recorder();
        loopback.connections.start(server.address(), call, recorder);
        recorder.result.get(10, TimeUnit.SECONDS);
        return recorder;
    }

    private static byte[] answer(int status, String name) {
        String head = "HTTP/1.1 " + status + " Status\r\nrequest-id: " + name + "\r\n";
        return (head + "content-length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    // Guards against the copy of a refusal that is taken for the answer to the same call, which the
    // server runs when it is sent again.
    @ParameterizedTest
    @ValueSource(ints = {1, 20, 100})
    void copyOfRefusalDoesNotAnswerTheRepeatedCall(int delayMillis) throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(
                        number -> answer(number == 0 ? REFUSED : DONE, "r1"),
                        Duration.ofMillis(delayMillis))) {
            Recorder refused = call(server, "r1");
            Recorder repeated = call(server, "r1");
            assertEquals(REFUSED, refused.status);
            assertEquals(DONE, repeated.status);
            assertNotEquals(refused.position.localPort(), repeated.position.localPort());
        }
    }

    // Guards against new connections for calls that the kept one has not carried.
    @ParameterizedTest
    @ValueSource(ints = {20, 100})
    void otherCallUsesTheKeptConnection(int delayMillis) throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(
                        number -> answer(number == 0 ? REFUSED : DONE, "r" + (number + 1)),
                        Duration.ofMillis(delayMillis))) {
            Recorder refused = call(server, "r1");
            Recorder other = call(server, "r2");
            assertEquals(DONE, other.status);
            assertEquals(refused.position.localPort(), other.position.localPort());
            assertEquals(1, other.position.earlierCalls());
        }
    }

    // Guards against a call that is lost because the copy of an answer that names no call comes
    // where its own answer is due.
    @ParameterizedTest
    @ValueSource(ints = {20, 100})
    void callAfterAnAnswerWithoutNameUsesAnotherConnection(int delayMillis) throws Exception {
        byte[] unnamed =
                "HTTP/1.1 400 Status\r\ncontent-length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1);
        try (RepeatingServer server =
                new RepeatingServer(
                        number -> number == 0 ? unnamed : answer(DONE, "r2"),
                        Duration.ofMillis(delayMillis))) {
            Recorder refused = call(server, "r1");
            Recorder other = call(server, "r2");
            assertEquals(400, refused.status);
            assertEquals(DONE, other.status);
            assertNotEquals(refused.position.localPort(), other.position.localPort());
        }
    }

    // Guards against a server that counts as out of reach because it accepts no further connection,
    // although the kept one works.
    @Test
    void repeatedCallHasNoEffectIfTheServerAcceptsNoOtherConnection() throws Exception {
        // A copy that is read with the refusal would close the kept connection.
        Duration copyDelay = LoopbackFixture.LONG_TIMEOUT;
        try (RepeatingServer server =
                new RepeatingServer(number -> answer(REFUSED, "r1"), copyDelay)) {
            assertEquals(REFUSED, call(server, "r1").status);
            server.acceptNoMore();
            Throwable failure =
                    assertThrows(ExecutionException.class, () -> call(server, "r1")).getCause();
            HttpFailure notSent = assertInstanceOf(HttpFailure.class, failure);
            assertEquals(HttpFailure.Kind.NO_OTHER_CONNECTION, notSent.kind());
            assertTrue(notSent.notSent());
        }
    }
}
