package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.StreamBytes.LAST_CHUNK;
import static org.tarragonlug.gateway.StreamBytes.SEAL;
import static org.tarragonlug.gateway.StreamBytes.chunk;
import static org.tarragonlug.gateway.StreamBytes.chunkedHead;
import static org.tarragonlug.gateway.StreamBytes.event;
import static org.tarragonlug.gateway.StreamBytes.unframedHead;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that break off after they have begun, and what the next server then answers. */
class BrokenStreamTest {
    private static final String ERROR_TEXT = "internal failure of the engine";

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void startGateway() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    /** Starts two servers; the one that is asked first answers with the first script. */
    private void startServers(ScriptedServer.Script first, ScriptedServer.Script next) {
        AtomicBoolean asked = new AtomicBoolean();
        for (String id : List.of("e1", "e2")) {
            fixture.startScripted(
                    id,
                    "engines",
                    List.of("m1"),
                    (request, number, onConnection) -> {
                        if (request.id().isEmpty()) {
                            return new ScriptedServer.Answer(
                                    ScriptedServer.answer(500, "", "", ""),
                                    ScriptedServer.End.KEEP);
                        }
                        ScriptedServer.Script script =
                                asked.compareAndSet(false, true) ? first : next;
                        return script.answer(request, number, onConnection);
                    });
        }
    }

    private String receive(String path) throws IOException {
        int port = fixture.gatewaySettings.get(0).callerAddress().getPort();
        return StreamBytes.receive(port, path);
    }

    /** How the second server answers instead of going on. */
    private enum Failure {
        ERROR_WITH_BODY(ScriptedServer.answer(500, "r1", SEAL, ERROR_TEXT)),
        ERROR_WITHOUT_BODY(ScriptedServer.answer(500, "r1", SEAL, "")),
        ERROR_IN_CHUNKS(
                "HTTP/1.1 500 Error\r\ntarragonlug-request-id: r1\r\n"
                        + "transfer-encoding: chunked\r\n\r\n"
                        + chunk(ERROR_TEXT)
                        + "0\r\n\r\n"),
        ERROR_UNTIL_CLOSE("HTTP/1.1 500 Error\r\ntarragonlug-request-id: r1\r\n\r\n" + ERROR_TEXT),
        UNAVAILABLE_WITHOUT_BODY(ScriptedServer.answer(503, "r1", "", "")),
        NOT_FOUND_WITHOUT_BODY(ScriptedServer.answer(404, "r1", "", "")),
        NO_CONTENT(ScriptedServer.answer(204, "r1", SEAL, "")),
        MOVED_WITHOUT_BODY(ScriptedServer.answer(302, "r1", "location: /x\r\n", "")),
        TEXT_WITH_SUCCESS(ScriptedServer.answer(200, "r1", SEAL, ERROR_TEXT)),
        SUCCESS_OF_ANOTHER_REQUEST(ScriptedServer.answer(200, "r0", SEAL, event(2) + event(3)));

        private final String bytes;

        Failure(String bytes) {
            this.bytes = bytes;
        }
    }

    @Nested
    class NextServerFails {
        // Guards against error text in the middle of a stream, and against streams that end as if
        // they were complete, after the next server has answered with an error.
        @ParameterizedTest
        @EnumSource(Failure.class)
        void callerSeesABrokenStreamAndNothingOfTheError(Failure failure) throws Exception {
            startServers(
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id()) + chunk(event(1)),
                                    ScriptedServer.End.RESET),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(failure.bytes, ScriptedServer.End.CLOSE));
            startGateway();
            String received = receive("/ask/1");
            assertTrue(received.contains("part 1"), received);
            assertFalse(received.contains(ERROR_TEXT), received);
            assertFalse(received.contains(LAST_CHUNK), "the end looks complete: " + received);
            assertEquals(received.indexOf("HTTP/1.1"), received.lastIndexOf("HTTP/1.1"), received);
        }

        // Guards against streams that are given up although the next server goes on with them.
        @Test
        void streamGoesOnWhenTheNextServerResumesIt() throws Exception {
            startServers(
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id())
                                            + chunk(event(1))
                                            + chunk("id: 2\nda"),
                                    ScriptedServer.End.RESET),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id())
                                            + chunk(event(2) + event(3))
                                            + "0\r\n\r\n",
                                    ScriptedServer.End.KEEP));
            startGateway();
            String received = receive("/ask/1");
            assertTrue(received.contains(chunk(event(1))), received);
            assertTrue(received.contains("part 3"), received);
            assertTrue(received.contains(LAST_CHUNK), received);
            assertEquals(received.indexOf("part 2"), received.lastIndexOf("part 2"), received);
        }
    }

    /** Bytes in the body of a stream that are no events of it. */
    private enum ForeignBytes {
        RANDOM(randomText()),
        EVENT_WITHOUT_ID("data: foreign\n\n"),
        EVENT_WITH_UNREADABLE_ID("id: foreign\ndata: foreign\n\n"),
        ANSWER_HEAD("HTTP/1.1 503 foreign\r\nid: 2\r\n\r\n"),
        BINARY_DATA("id: 2\ndata: foreign \u00ff\u00fe\n\n"),
        LONG_EVENT("id: 2\ndata: foreign " + "x".repeat(100_000) + "\n\n"),
        LONG_LINE("foreign".repeat(20_000));

        private final String bytes;

        ForeignBytes(String bytes) {
            this.bytes = bytes;
        }

        private static String randomText() {
            byte[] random = new byte[200_000];
            new Random(7).nextBytes(random);
            return "foreign" + new String(random, StandardCharsets.ISO_8859_1);
        }
    }

    @Nested
    class BodyGoesOnWithForeignBytes {
        // Guards against a stream that is resumed from its beginning, and against foreign bytes in
        // it, after the first server's body has gone on with bytes that are no events.
        @ParameterizedTest
        @EnumSource(ForeignBytes.class)
        void streamIsResumedAfterItsLastEvent(ForeignBytes foreign) throws Exception {
            startServers(
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id())
                                            + chunk(event(1))
                                            + chunk(foreign.bytes),
                                    ScriptedServer.End.KEEP),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id())
                                            + chunk(
                                                    request.lastEventId().isEmpty()
                                                            ? event(1) + event(2)
                                                            : event(2))
                                            + "0\r\n\r\n",
                                    ScriptedServer.End.KEEP));
            startGateway();
            String received = receive("/ask/1");
            assertFalse(received.contains("foreign"), received);
            assertEquals(received.indexOf("part 1"), received.lastIndexOf("part 1"), received);
            assertTrue(received.contains("part 2"), received);
            assertTrue(received.contains(LAST_CHUNK), received);
        }
    }

    /** Answers with neither a length nor chunks, which end with their connection. */
    @Nested
    class WithoutLength {
        private String receiveUnframed(String bytes, ScriptedServer.End end) throws Exception {
            startServers(
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(unframedHead(request.id()) + bytes, end),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    chunkedHead(request.id())
                                            + chunk(event(2) + event(3))
                                            + "0\r\n\r\n",
                                    ScriptedServer.End.KEEP));
            startGateway();
            return receive("/ask/1");
        }

        @Test
        void streamThatEndsAfterAnEventIsComplete() throws Exception {
            String received = receiveUnframed(event(1) + event(2), ScriptedServer.End.CLOSE);
            assertTrue(received.contains("part 2"), received);
            assertFalse(received.contains("part 3"), received);
            assertTrue(received.contains(LAST_CHUNK), received);
        }

        // Guards against a stream that passes for complete although it ends within an event.
        @Test
        void streamThatEndsWithinAnEventIsResumed() throws Exception {
            String received =
                    receiveUnframed(event(1) + "id: 2\ndata: pa", ScriptedServer.End.CLOSE);
            assertTrue(received.contains("part 3"), received);
            assertEquals(received.indexOf("part 2"), received.lastIndexOf("part 2"), received);
            assertTrue(received.contains(LAST_CHUNK), received);
        }

        // Guards against a stream that passes for complete although its connection was reset.
        @Test
        void streamThatIsResetIsResumed() throws Exception {
            String received = receiveUnframed(event(1), ScriptedServer.End.RESET);
            assertTrue(received.contains("part 3"), received);
            assertTrue(received.contains(LAST_CHUNK), received);
        }
    }

    /** Whole answers with neither a length nor chunks. */
    @Nested
    class WholeAnswers {
        private int status(ScriptedServer.End end) throws Exception {
            fixture.startScripted(
                    "r1",
                    "records",
                    List.of(),
                    (request, number, onConnection) ->
                            new ScriptedServer.Answer(
                                    unframedHead(request.id()) + "certificate", end));
            startGateway();
            return fixture.send(0, "/issue/1", "", "x").statusCode();
        }

        @Test
        void answerThatEndsWithItsConnectionIsDelivered() throws Exception {
            assertEquals(200, status(ScriptedServer.End.CLOSE));
        }

        // Guards against a part of an answer that is delivered as the whole.
        @Test
        void answerThatIsResetIsNotDelivered() throws Exception {
            assertEquals(502, status(ScriptedServer.End.RESET));
        }
    }

    /** Heads that end with their connection, in the middle of a line or after one. */
    @Nested
    class HeadsWithoutEnd {
        // Guards against a success with an empty or short body that looks whole to the caller.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\ntarragonlug-request-id: %s\r\n" + SEAL,
                    "HTTP/1.1 200 OK\r\ntarragonlug-request-id: %s\r\n"
                            + SEAL
                            + "content-length: 1",
                    "HTTP/1.1 200 OK\r\ntarragonlug-request-id: %s\r\n"
                            + SEAL
                            + "transfer-encoding: chunked\r\n"
                })
        void callerGetsNoSuccess(String head) throws Exception {
            for (String service : List.of("records", "engines")) {
                fixture.startScripted(
                        service,
                        service,
                        List.of("m1"),
                        (request, number, onConnection) ->
                                onConnection == 1
                                        ? new ScriptedServer.Answer(
                                                ScriptedServer.answer(500, request.id(), "", "x"),
                                                ScriptedServer.End.KEEP)
                                        : new ScriptedServer.Answer(
                                                head.formatted(request.id()),
                                                ScriptedServer.End.CLOSE));
            }
            startGateway();
            assertEquals(500, fixture.send(0, "/issue/1", "", "x").statusCode());
            assertEquals(502, fixture.send(0, "/issue/2", "", "x").statusCode());
            assertEquals(500, fixture.send(0, "/score/1", "m1", "x").statusCode());
            assertEquals(502, fixture.send(0, "/score/2", "m1", "x").statusCode());
        }
    }
}
