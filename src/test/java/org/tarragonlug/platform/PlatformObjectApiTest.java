package org.tarragonlug.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.http.RepeatingServer;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** A store that sends an answer once more, when the next call has been sent on the connection. */
class PlatformObjectApiTest {
    private static final Duration DELAY = Duration.ofMillis(100);
    private static final ObjectName FIRST = new ObjectName("leases", "orders-0");
    private static final ObjectName SECOND = new ObjectName("leases", "orders-1");

    private final LoopbackFixture loopback = new LoopbackFixture();

    @AfterEach
    void close() throws Exception {
        loopback.close();
    }

    private PlatformObjectApi api(RepeatingServer server) {
        return new PlatformObjectApi(loopback.connections, server.address(), stated -> {});
    }

    private static byte[] object(ObjectName name) {
        return RawServer.ok(
                "{\"metadata\":{\"name\":\"" + name.name() + "\",\"revision\":5},\"spec\":{}}");
    }

    // Guards against a lease that is read or counts as written by the answer to another call.
    @Test
    void objectOfAnotherCallIsNoAnswer() throws Exception {
        try (RepeatingServer server = new RepeatingServer(n -> object(FIRST), DELAY)) {
            LoopbackFixture.await(api(server).read(FIRST));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(api(server).read(SECOND)));
        }
        try (RepeatingServer server = new RepeatingServer(n -> object(FIRST), DELAY)) {
            assertEquals(
                    StorePosition.of(5),
                    LoopbackFixture.await(api(server).write(FIRST, Json.object(), 4)));
            assertEquals(
                    ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                    LoopbackFixture.awaitErrorCode(api(server).write(SECOND, Json.object(), 4)));
        }
    }

    // Guards against news that are lost: the answer to a list reads as a watch without changes up
    // to its revision, and the answer to a watch as an empty list.
    @Test
    void answersToListsAndWatchesAreNotConfused() throws Exception {
        byte[] page = RawServer.ok("{\"items\":[],\"has_more\":false,\"as_of\":9}");
        try (RepeatingServer server = new RepeatingServer(n -> page, DELAY)) {
            LoopbackFixture.await(api(server).list("servers"));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(
                            api(server)
                                    .watch(
                                            "servers",
                                            StorePosition.of(5),
                                            Duration.ofMillis(300))));
        }
        byte[] events = RawServer.ok("{\"events\":[],\"as_of\":9}");
        try (RepeatingServer server = new RepeatingServer(n -> events, DELAY)) {
            LoopbackFixture.await(
                    api(server).watch("servers", StorePosition.of(5), Duration.ofMillis(300)));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(api(server).list("servers")));
        }
    }

    private static byte[] noEvents(int revision) {
        return RawServer.ok("{\"events\":[],\"as_of\":" + revision + "}");
    }

    // Guards against news that are lost: the copy of the answer to a watch of one kind reads as a
    // watch of another kind without changes up to its revision.
    @Test
    void copyOfWatchDoesNotAnswerWatchOfAnotherKind() throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(answers(noEvents(9), noEvents(7)), DELAY)) {
            PlatformObjectApi api = api(server);
            LoopbackFixture.await(api.watch("config", StorePosition.of(5), Duration.ofMillis(300)));
            assertEquals(
                    7,
                    LoopbackFixture.await(
                                    api.watch(
                                            "servers", StorePosition.of(5), Duration.ofMillis(300)))
                            .revision());
        }
    }

    // Guards against changes that are applied once more after later ones: the copy of the answer
    // to an earlier watch of the same kind ends before the revision that is asked for.
    @Test
    void answerFromBeforeTheRevisionIsNoAnswer() throws Exception {
        try (RepeatingServer server = new RepeatingServer(n -> noEvents(9), DELAY)) {
            PlatformObjectApi api = api(server);
            LoopbackFixture.await(
                    api.watch("servers", StorePosition.of(5), Duration.ofMillis(300)));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(
                            api.watch("servers", StorePosition.of(12), Duration.ofMillis(300))));
        }
    }

    // Guards against keys that are refused as unknown because a read of the configuration is
    // answered by the copy of the answer to an earlier one, or to a read of something absent.
    @Test
    void copyDoesNotAnswerReadOfConfiguration() throws Exception {
        ObjectName configuration = PlatformKinds.currentConfiguration();
        for (byte[] first : List.of(object(configuration), status(404))) {
            byte[] later =
                    RawServer.ok(
                            "{\"metadata\":{\"name\":\""
                                    + configuration.name()
                                    + "\",\"revision\":6},\"spec\":{}}");
            try (RepeatingServer server = new RepeatingServer(answers(first, later), DELAY)) {
                PlatformObjectApi api = api(server);
                LoopbackFixture.await(api.read(configuration));
                assertEquals(6, LoopbackFixture.await(api.read(configuration)).version());
            }
        }
    }

    private static byte[] status(int status) {
        return ("HTTP/1.1 " + status + " Status\r\ncontent-length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the answers to the first call and to all later ones. */
    private static IntFunction<byte[]> answers(byte[] first, byte[] later) {
        return number -> number == 0 ? first : later;
    }

    // Guards against a lease that counts as acquired though another instance has acquired it: the
    // copy of the answer to the read before bears the name of the lease as well.
    @Test
    void copyOfReadDoesNotAnswerRefusedWrite() throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(answers(object(FIRST), status(409)), DELAY)) {
            LoopbackFixture.await(api(server).read(FIRST));
            assertEquals(
                    ErrorCode.WRITE_CONFLICT,
                    LoopbackFixture.awaitErrorCode(api(server).write(FIRST, Json.object(), 5)));
        }
    }

    // Guards against a write that counts as not done although the store did it.
    @ParameterizedTest
    @ValueSource(ints = {404, 409, 429, 503})
    void copyOfRefusalDoesNotAnswerNextWrite(int refusal) throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(answers(status(refusal), object(SECOND)), DELAY)) {
            LoopbackFixture.awaitErrorCode(api(server).write(FIRST, Json.object(), 4));
            assertEquals(
                    StorePosition.of(5),
                    LoopbackFixture.await(api(server).write(SECOND, Json.object(), 4)));
        }
    }

    // Guards against a delete that counts as done because an object that was read before was
    // absent.
    @Test
    void copyOfAbsenceDoesNotAnswerRefusedDelete() throws Exception {
        try (RepeatingServer server =
                new RepeatingServer(answers(status(404), status(409)), DELAY)) {
            LoopbackFixture.await(api(server).read(FIRST));
            assertEquals(
                    ErrorCode.WRITE_CONFLICT,
                    LoopbackFixture.awaitErrorCode(api(server).delete(SECOND, 4)));
        }
    }

    // Guards against a new connection for each read; reads are much more frequent than writes.
    @Test
    void onlyWritesNeedNewConnections() throws Exception {
        try (PlatformStoreStandIn store = new PlatformStoreStandIn(loopback.ioExecutor)) {
            PlatformObjectApi api =
                    new PlatformObjectApi(loopback.connections, store.address(), stated -> {});
            long version = LoopbackFixture.await(api.write(FIRST, Json.object(), 0)).revision();
            for (int round = 0; round < 5; round++) {
                for (int read = 0; read < 10; read++) {
                    LoopbackFixture.await(api.read(FIRST));
                }
                version =
                        LoopbackFixture.await(api.write(FIRST, Json.object(), version)).revision();
            }
            int readConnections = store.usedConnections() - 6;
            // The next read may begin before the connection of the last one is back in the pool.
            assertTrue(
                    readConnections >= 1 && readConnections < 25,
                    "50 reads on " + readConnections + " connections");
        }
    }
}
