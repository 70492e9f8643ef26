package org.tarragonlug.objectapi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.http.RepeatingServer;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.standin.ObjectApiCounts;
import org.tarragonlug.standin.ObjectApiStandIn;
import org.tarragonlug.standin.OutageKind;

class HttpObjectApiTest {
    private static final ObjectName NAME = new ObjectName("claims", "a b/c@1%");
    private static final Duration WAIT = Duration.ofMillis(100);

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final ObjectApiStandIn standIn =
            new ObjectApiStandIn(loopback.ioExecutor, loopback.clock);
    private final ObjectApi api = new HttpObjectApi(loopback.connections, standIn.address());

    private final ObjectApi shortTimeoutApi =
            new HttpObjectApi(loopback.shortTimeoutConnections, standIn.address());

    @AfterEach
    void close() throws Exception {
        standIn.close();
        loopback.close();
    }

    private static JsonNode content(int value) {
        return JsonNodeFactory.instance.objectNode().put("value", value);
    }

    private static long version(CompletionStage<StorePosition> written) throws Exception {
        return LoopbackFixture.await(written).revision();
    }

    @Nested
    class ConditionalUpdates {
        /**
         * Guards against lost updates, where a write or delete replaces a version that the caller
         * has not read, and against object names that are not encoded in the request path.
         */
        @Test
        void replacesAndDeletesOnlyExpectedVersion() throws Exception {
            assertFalse(LoopbackFixture.await(api.read(NAME)).exists());
            long first = version(api.write(NAME, content(1), StoredObject.ABSENT));
            assertEquals(
                    ErrorCode.WRITE_CONFLICT,
                    LoopbackFixture.awaitErrorCode(
                            api.write(NAME, content(2), StoredObject.ABSENT)));
            long second = version(api.write(NAME, content(3), first));
            assertEquals(
                    ErrorCode.WRITE_CONFLICT,
                    LoopbackFixture.awaitErrorCode(api.write(NAME, content(4), first)));
            StoredObject read = LoopbackFixture.await(api.read(NAME));
            assertEquals(new StoredObject(NAME, second, content(3)), read);
            assertEquals(
                    ErrorCode.WRITE_CONFLICT,
                    LoopbackFixture.awaitErrorCode(api.delete(NAME, first)));
            LoopbackFixture.await(api.delete(NAME, second));
            assertFalse(LoopbackFixture.await(api.read(NAME)).exists());
            assertEquals(new ObjectApiCounts(3, 6, 0, 3), standIn.counts());
        }

        /**
         * Guards against an oversized object being sent to the server, whose failure would not tell
         * the caller that the size is the reason.
         */
        @Test
        void refusesObjectAboveOneMegabyte() {
            JsonNode large =
                    JsonNodeFactory.instance.objectNode().put("text", "x".repeat(1_000_000));
            assertEquals(
                    ErrorCode.OBJECT_TOO_LARGE,
                    LoopbackFixture.awaitErrorCode(api.write(NAME, large, StoredObject.ABSENT)));
        }
    }

    @Nested
    class Outages {
        /**
         * Guards against a write that took effect being reported as having had no effect. The
         * server executes the write, but its answer is lost.
         */
        @Test
        void reportsUnknownOutcomeWhenAnswerToWriteIsLost() throws Exception {
            standIn.loseAnswersOfNextWrites(1);
            assertEquals(
                    ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                    LoopbackFixture.awaitErrorCode(
                            api.write(NAME, content(1), StoredObject.ABSENT)));
            assertEquals(content(1), LoopbackFixture.await(api.read(NAME)).content());
        }

        /**
         * Guards against certain and unknown outcomes of writes being confused. Only a server that
         * refuses the write says that the write had no effect; a broken connection and a timeout
         * leave the outcome open.
         */
        @ParameterizedTest
        @CsvSource({
            "REFUSING, OBJECT_API_UNAVAILABLE",
            "DISCONNECTING, OBJECT_API_OUTCOME_UNKNOWN",
            "SILENT, OBJECT_API_OUTCOME_UNKNOWN"
        })
        void reportsWriteOutcomeByKindOfOutage(OutageKind outage, ErrorCode expected)
                throws Exception {
            ObjectApi down = outage == OutageKind.SILENT ? shortTimeoutApi : api;
            standIn.setOutage(outage);
            assertEquals(
                    expected,
                    LoopbackFixture.awaitErrorCode(
                            down.write(NAME, content(1), StoredObject.ABSENT)));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(down.read(NAME)));

            standIn.setOutage(OutageKind.NONE);
            version(api.write(NAME, content(1), StoredObject.ABSENT));
        }

        /**
         * Guards against a write being reported as of unknown outcome although its connection was
         * refused and nothing was sent, and against a client that does not reconnect afterwards.
         */
        @Test
        void reportsNoEffectOfWriteWhenConnectionIsRefused() throws Exception {
            standIn.stopListening();
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(
                            api.write(NAME, content(1), StoredObject.ABSENT)));
            standIn.startListening();
            version(api.write(NAME, content(1), StoredObject.ABSENT));
        }

        /**
         * Guards against a client that drops an answer which is slow but within the timeout, or
         * that waits for an answer beyond the timeout.
         */
        @Test
        void acceptsSlowAnswerOnlyWithinTimeout() throws Exception {
            standIn.setDelay(LoopbackFixture.SHORT_TIMEOUT.dividedBy(4));
            long first = version(api.write(NAME, content(1), StoredObject.ABSENT));
            standIn.setDelay(LoopbackFixture.SHORT_TIMEOUT.multipliedBy(2));
            assertEquals(
                    ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                    LoopbackFixture.awaitErrorCode(shortTimeoutApi.write(NAME, content(2), first)));
        }

        /**
         * Guards against repeated failures on an open connection that has become silent. The call
         * that times out must close the connection, so that the next call opens a new one.
         */
        @Test
        void replacesSilentConnectionAfterOneTimeout() throws Exception {
            version(shortTimeoutApi.write(NAME, content(1), StoredObject.ABSENT));
            // Reads keep their connection open.
            assertTrue(LoopbackFixture.await(shortTimeoutApi.read(NAME)).exists());
            standIn.silenceOpenConnections();
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(shortTimeoutApi.read(NAME)));
            assertTrue(LoopbackFixture.await(shortTimeoutApi.read(NAME)).exists());
        }

        /**
         * Guards against a write being reported as having had no effect when the server answers
         * with success but the body is unreadable.
         */
        @ParameterizedTest
        @ValueSource(strings = {"", "{", "{}", "{\"version\":-1}", "{\"version\":0}", "[1] 2"})
        void reportsUnknownOutcomeWhenAnswerToWriteIsMalformed(String body) {
            try (RawServer server = new RawServer(n -> RawServer.ok(body), true)) {
                ObjectApi broken = new HttpObjectApi(loopback.connections, server.address());
                assertEquals(
                        ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                        LoopbackFixture.awaitErrorCode(
                                broken.write(NAME, content(1), StoredObject.ABSENT)));
                assertEquals(
                        ErrorCode.OBJECT_API_UNAVAILABLE,
                        LoopbackFixture.awaitErrorCode(broken.read(NAME)));
            }
        }

        /**
         * Guards against an oversized answer being read into memory. The answer has more than
         * 70,000 bytes, the limit of the test connections is 64 KiB.
         */
        @Test
        void failsWhenAnswerExceedsSizeLimit() throws Exception {
            standIn.put(NAME, JsonNodeFactory.instance.objectNode().put("t", "x".repeat(70_000)));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(api.list("claims")));
        }
    }

    @Nested
    class Watches {
        /**
         * Guards against changes that are missed between a list and the following watch, and
         * against a watch that returns objects of another kind.
         */
        @Test
        void returnsChangesMadeAfterList() throws Exception {
            version(api.write(NAME, content(1), StoredObject.ABSENT));
            WatchResult list = LoopbackFixture.await(api.list("claims"));
            assertEquals(1, list.changed().size());
            CompletionStage<WatchResult> watch =
                    api.watch("claims", list.position(), Duration.ofSeconds(5));
            version(api.write(new ObjectName("other", "x"), content(1), StoredObject.ABSENT));
            LoopbackFixture.await(api.delete(NAME, list.changed().get(0).version()));
            WatchResult changes = LoopbackFixture.await(watch);
            assertEquals(NAME, changes.changed().get(0).name());
            assertFalse(changes.changed().get(0).exists());
            assertTrue(changes.revision() > list.revision());
        }

        /**
         * Guards against a watch being reported as failed because its wait ended without a change.
         */
        @Test
        void returnsNoChangesWhenWaitEnds() throws Exception {
            WatchResult result =
                    LoopbackFixture.await(api.watch("claims", StorePosition.of(0), WAIT));
            assertEquals(new WatchResult(java.util.List.of(), 0, false), result);
        }

        /**
         * Guards against undetected missed changes. The server no longer has the changes since the
         * given revision; the watch must report a gap.
         */
        @Test
        void reportsGapWhenServerHasDiscardedChanges() throws Exception {
            version(api.write(NAME, content(1), StoredObject.ABSENT));
            standIn.discardChanges();
            assertTrue(LoopbackFixture.await(api.watch("claims", StorePosition.of(0), WAIT)).gap());
        }

        /** Guards against a watch that never ends because the server does not answer at all. */
        @Test
        void failsWhenWatchedServerStaysSilent() {
            standIn.setOutage(OutageKind.SILENT);
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(
                            shortTimeoutApi.watch("claims", StorePosition.of(0), WAIT)));
        }
    }

    /**
     * Guards against a stand-in that returns current objects in spite of the stale reads setting.
     * Tests of components that must tolerate stale reads would then pass without testing them.
     */
    @Test
    void standInReturnsPreviousStateForStaleRead() throws Exception {
        long first = version(api.write(NAME, content(1), StoredObject.ABSENT));
        version(api.write(NAME, content(2), first));
        standIn.setStaleReads(true);
        assertEquals(first, LoopbackFixture.await(api.read(NAME)).version());
    }

    /** A server that sends an answer once more, when the next call has been sent. */
    @Nested
    class AnswersSentTwice {
        private static final Duration DELAY = Duration.ofMillis(100);
        private static final ObjectName OTHER = new ObjectName("claims", "other");

        private static byte[] answer(int status, String body) {
            String head = "HTTP/1.1 " + status + " Status\r\ncontent-length: ";
            return (head + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
        }

        private ObjectApi api(RepeatingServer server) {
            return new HttpObjectApi(loopback.connections, server.address());
        }

        // Guards against a request that runs twice, because its claim counts as made although
        // another instance has made it: answers to writes name no object.
        @Test
        void copyOfWriteDoesNotAnswerRefusedWrite() throws Exception {
            byte[] written = answer(200, "{\"version\": 7}");
            byte[] conflict = answer(409, "");
            try (RepeatingServer server =
                    new RepeatingServer(number -> number == 0 ? written : conflict, DELAY)) {
                version(api(server).write(NAME, content(1), StoredObject.ABSENT));
                assertEquals(
                        ErrorCode.WRITE_CONFLICT,
                        LoopbackFixture.awaitErrorCode(
                                api(server).write(OTHER, content(1), StoredObject.ABSENT)));
            }
        }

        // Guards against a claim that no request ever ends, because it counts as not made.
        @ParameterizedTest
        @ValueSource(ints = {409, 412, 429, 503})
        void copyOfRefusalDoesNotAnswerNextWrite(int refusal) throws Exception {
            byte[] refused = answer(refusal, "");
            byte[] written = answer(200, "{\"version\": 7}");
            try (RepeatingServer server =
                    new RepeatingServer(number -> number == 0 ? refused : written, DELAY)) {
                LoopbackFixture.awaitErrorCode(
                        api(server).write(NAME, content(1), StoredObject.ABSENT));
                assertEquals(7, version(api(server).write(OTHER, content(1), StoredObject.ABSENT)));
            }
        }
    }
}
