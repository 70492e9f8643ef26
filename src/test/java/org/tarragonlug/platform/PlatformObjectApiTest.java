package org.tarragonlug.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.http.RepeatingServer;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.runtime.Json;

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
        return new PlatformObjectApi(loopback.connections, server.address());
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
            assertEquals(5, LoopbackFixture.await(api(server).write(FIRST, Json.object(), 4)));
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
                            api(server).watch("servers", 5, Duration.ofMillis(300))));
        }
        byte[] events = RawServer.ok("{\"events\":[],\"as_of\":9}");
        try (RepeatingServer server = new RepeatingServer(n -> events, DELAY)) {
            LoopbackFixture.await(api(server).watch("servers", 5, Duration.ofMillis(300)));
            assertEquals(
                    ErrorCode.OBJECT_API_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(api(server).list("servers")));
        }
    }
}
