package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Calls whose server stops within an answer and begins it anew. */
class RepeatedAnswerTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 200\r\n\r\n";

    /** Collects what is handed on, and the kind of the failure. */
    private static final class Recorder implements HttpReceiver {
        private final StringBuilder received = new StringBuilder();
        private final CompletableFuture<HttpFailure.Kind> failure = new CompletableFuture<>();

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onData(byte[] part) {
            received.append(new String(part, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onCompleted() {
            failure.completeExceptionally(new AssertionError("the answer looks complete"));
        }

        @Override
        public void onFailed(HttpFailure reason) {
            failure.complete(reason.kind());
        }
    }

    // Guards against bytes that are lost since the head of a second answer came together with them:
    // a receiver that knows of no content takes the server for lost.
    @Test
    void bytesBeforeTheSecondHeadAreHandedOn() throws Exception {
        byte[] bytes =
                (HEAD + "part" + HEAD + "x".repeat(200)).getBytes(StandardCharsets.ISO_8859_1);
        try (LoopbackFixture loopback = new LoopbackFixture();
                RawServer server = new RawServer(number -> bytes, false)) {
            Recorder recorder = new Recorder();
            HttpCall call =
                    new HttpCall(
                            "GET",
                            "/a",
                            Map.of(),
                            HttpBody.EMPTY,
                            LoopbackFixture.LONG_TIMEOUT,
                            ConnectionUse.POOLED,
                            Optional.of(new AnswerName("request-id", "r1")));
            loopback.connections.start(server.address(), call, recorder);
            HttpFailure.Kind kind = recorder.failure.get(10, TimeUnit.SECONDS);
            assertEquals(HttpFailure.Kind.ANSWER_REPEATED, kind);
            assertEquals("part", recorder.received.toString());
        }
    }
}
