package org.tarragonlug.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.runtime.Json;

/** Model servers and a store whose answers have a status that HTTP does not define. */
class OddStatusTest {
    private static final ServerId SERVER = new ServerId("e1");
    private static final ObjectName LEASE = new ObjectName("leases", "orders-0");
    private static final String BODY =
            "{\"models\":[],\"seq\":1,\"metadata\":{\"name\":\"orders-0\",\"revision\":5},"
                    + "\"spec\":{},\"as_of\":9}";

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final PlatformEngineClient engines = new PlatformEngineClient(loopback.connections);
    private volatile String status = "";
    private RawServer server;
    private PlatformObjectApi store;

    @BeforeEach
    void startServer() {
        server = new RawServer(number -> answer(), true);
        store = new PlatformObjectApi(loopback.connections, server.address(), stated -> {});
    }

    @AfterEach
    void close() {
        server.close();
        loopback.close();
    }

    private byte[] answer() {
        return ("HTTP/1.1 " + status + " Status\r\ncontent-length: " + BODY.length() + "\r\n\r\n")
                .concat(BODY)
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Nested
    class ModelServers {
        // Guards against a server that counts as alive though it answers nothing of use.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "20", "600", "999"})
        void serverIsNotKnownToBeAlive(String odd) throws Exception {
            status = odd;
            assertEquals(false, LoopbackFixture.await(engines.isAlive(SERVER, server.address())));
        }

        // Guards against orders that count as carried out or refused, and against reports of it.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "20", "600", "999"})
        void orderHasAnUnknownOutcomeAndReportFails(String odd) throws Exception {
            status = odd;
            assertEquals(
                    OrderResult.UNKNOWN,
                    LoopbackFixture.await(
                            engines.sendOrder(
                                    SERVER,
                                    server.address(),
                                    OrderAction.LOAD,
                                    new ModelKey("m", ""),
                                    3,
                                    new InstanceId("holder"),
                                    new FencingToken(7),
                                    () -> true)));
            assertEquals(
                    ErrorCode.BACKEND_UNREACHABLE,
                    LoopbackFixture.awaitErrorCode(engines.fetchReport(SERVER, server.address())));
        }
    }

    @Nested
    class Store {
        // Guards against objects, lists and news that are taken from an answer with no status.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "20", "600", "999"})
        void nothingIsRead(String odd) throws Exception {
            status = odd;
            ErrorCode unavailable = ErrorCode.OBJECT_API_UNAVAILABLE;
            assertEquals(unavailable, LoopbackFixture.awaitErrorCode(store.read(LEASE)));
            assertEquals(unavailable, LoopbackFixture.awaitErrorCode(store.list("leases")));
            assertEquals(
                    unavailable,
                    LoopbackFixture.awaitErrorCode(
                            store.watch("leases", StorePosition.of(3), Duration.ofMillis(100))));
        }

        // Guards against writes that count as done or as refused.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "20", "600", "999"})
        void writesHaveAnUnknownOutcome(String odd) throws Exception {
            status = odd;
            ErrorCode unknown = ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
            assertEquals(
                    unknown, LoopbackFixture.awaitErrorCode(store.write(LEASE, Json.object(), 4)));
            assertEquals(
                    unknown, LoopbackFixture.awaitErrorCode(store.write(LEASE, Json.object(), 0)));
            assertEquals(unknown, LoopbackFixture.awaitErrorCode(store.delete(LEASE, 4)));
        }
    }
}
