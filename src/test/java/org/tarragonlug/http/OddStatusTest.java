package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers whose answers have a status that HTTP does not define for a final answer. */
class OddStatusTest {
    private final LoopbackFixture loopback = new LoopbackFixture();

    @AfterEach
    void close() {
        loopback.close();
    }

    /** How the body of an answer ends. */
    private enum Framing {
        LENGTH("content-length: 4\r\n\r\nbody"),
        CHUNKS("transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        CLOSE("\r\nbody"),
        NO_BODY("content-length: 0\r\n\r\n");

        private final String afterStatusLine;

        Framing(String afterStatusLine) {
            this.afterStatusLine = afterStatusLine;
        }

        private byte[] answer(String statusLine) {
            return (statusLine + "\r\n" + afterStatusLine).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Makes a call and returns the status of its answer or the kind of its failure. */
    private Object outcome(byte[] answer, ConnectionUse use) throws Exception {
        try (RawServer server = new RawServer(number -> answer, true)) {
            HttpCall call = HttpCall.get("/a", LoopbackFixture.LONG_TIMEOUT, use);
            return LoopbackFixture.await(
                    loopback.connections
                            .exchange(server.address(), call)
                            .handle(
                                    (whole, failure) ->
                                            failure == null
                                                    ? (Object) whole.status()
                                                    : assertInstanceOf(HttpFailure.class, failure)
                                                            .kind()));
        }
    }

    private void assertInvalid(String statusLine) throws Exception {
        for (Framing framing : Framing.values()) {
            for (ConnectionUse use : ConnectionUse.values()) {
                assertEquals(
                        HttpFailure.Kind.ANSWER_INVALID,
                        outcome(framing.answer(statusLine), use),
                        statusLine + " " + framing + " " + use);
            }
        }
    }

    @Nested
    class Numbers {
        // Guards against answers of servers in trouble that count as answers though no status ends
        // a call: neither success nor failure, and nothing that a caller knows.
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 99, 600, 601, 700, 999})
        void statusOutsideTheRangeIsNoAnswer(int status) throws Exception {
            assertInvalid("HTTP/1.1 %03d Status".formatted(status));
        }

        // Guards against an interim answer that counts as the answer when the connection closes.
        @ParameterizedTest
        @ValueSource(ints = {100, 101, 102, 199})
        void interimStatusIsNoAnswer(int status) throws Exception {
            for (Framing framing : Framing.values()) {
                for (ConnectionUse use : ConnectionUse.values()) {
                    byte[] answer = framing.answer("HTTP/1.1 " + status + " Status");
                    assertInstanceOf(HttpFailure.Kind.class, outcome(answer, use));
                }
            }
        }

        // Guards against a limit that refuses what HTTP defines.
        @ParameterizedTest
        @ValueSource(ints = {200, 299, 300, 404, 500, 599})
        void statusWithinTheRangeIsAnAnswer(int status) throws Exception {
            for (ConnectionUse use : ConnectionUse.values()) {
                byte[] answer = Framing.LENGTH.answer("HTTP/1.1 " + status + " Status");
                assertEquals(status, outcome(answer, use));
            }
        }
    }

    @Nested
    class Spellings {
        // Guards against a status that is guessed from digits, signs or letters that are no status.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "00",
                    "2",
                    "20",
                    "0200",
                    "2000",
                    "+20",
                    "+200",
                    "-01",
                    "2x0",
                    "x00",
                    "2.0",
                    "2e1",
                    "0x1",
                    "200,",
                    "200OK",
                    "\u00b2\u00b2\u00b2",
                    "OK"
                })
        void statusThatIsNotThreeDigitsIsNoAnswer(String status) throws Exception {
            assertInvalid("HTTP/1.1 " + status + " Status");
        }

        // Guards against another protocol that is read as HTTP/1.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/0.9", "HTTP/2", "HTTP/2.0", "HTTP/3.1", "HTTP/11.1", "HTTP/1.10",
                    "HTTP/1", "http/1.1", "HTTP /1.1", "HTTPS/1.1", "ICY", "RTSP/1.0"
                })
        void versionOtherThanOneIsNoAnswer(String version) throws Exception {
            assertInvalid(version + " 200 OK");
        }
    }

    @Nested
    class Connections {
        // Guards against a connection that is used again after an answer that could not be read.
        @EnumSource(Framing.class)
        @ParameterizedTest
        void connectionIsClosed(Framing framing) throws Exception {
            byte[] odd = framing.answer("HTTP/1.1 600 Status");
            try (RawServer server = new RawServer(n -> n == 0 ? odd : RawServer.ok("b"), false)) {
                HttpCall call =
                        HttpCall.get("/a", LoopbackFixture.LONG_TIMEOUT, ConnectionUse.POOLED);
                LoopbackFixture.awaitFailure(loopback.connections.exchange(server.address(), call));
                // The server reads only one request of each connection.
                assertEquals(
                        200,
                        LoopbackFixture.await(loopback.connections.exchange(server.address(), call))
                                .status());
            }
        }
    }
}
