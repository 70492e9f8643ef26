package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports of answers that come right behind the answer to a call. */
class LateAnswerTest {
    private static final String LATE =
            "HTTP/1.1 503 Busy\r\nrequest-id: r0\r\ncontent-length: 0\r\n\r\n";

    private static HttpCall call() {
        return new HttpCall(
                "GET",
                "/a",
                Map.of(),
                HttpBody.EMPTY,
                LoopbackFixture.LONG_TIMEOUT,
                ConnectionUse.POOLED,
                Optional.of(new AnswerName("request-id", "r1")));
    }

    private static byte[] answerWithLateOne(String body) {
        String head =
                "HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: " + body.length() + "\r\n";
        return (head + "\r\n" + body + LATE).getBytes(StandardCharsets.ISO_8859_1);
    }

    // Guards against a late answer that is reported without its status and its call, because the
    // body before it ends like the beginning of a head and the bytes behind it were examined.
    @ParameterizedTest
    @ValueSource(strings = {"body", "bodyH"})
    void lateAnswerBehindAnAnswerIsNamed(String body) throws Exception {
        List<LateAnswer> reported = new CopyOnWriteArrayList<>();
        HttpLimits limits =
                new HttpLimits(
                        LoopbackFixture.LONG_TIMEOUT,
                        LoopbackFixture.LONG_TIMEOUT,
                        64 * 1024,
                        LoopbackFixture.MAXIMUM_HELD_BYTES,
                        Duration.ofMillis(50));
        byte[] bytes = answerWithLateOne(body);
        try (LoopbackFixture loopback = new LoopbackFixture();
                RawServer server = new RawServer(number -> bytes, false);
                HttpConnections connections =
                        new HttpConnections(
                                loopback.ioExecutor,
                                loopback.clock.executor(),
                                limits,
                                reported::add)) {
            LoopbackFixture.await(connections.exchange(server.address(), call()));
            LoopbackFixture.eventually(() -> !reported.isEmpty());
            assertEquals(1, reported.size());
            assertEquals(503, reported.get(0).status());
            assertEquals("r0", reported.get(0).call());
        }
    }
}
