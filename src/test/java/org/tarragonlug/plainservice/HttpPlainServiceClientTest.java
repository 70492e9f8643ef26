package org.tarragonlug.plainservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.http.RepeatingServer;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.standin.PlainServiceStandIn;

class HttpPlainServiceClientTest {
    private static final ServerId SERVER = new ServerId("dispatch-1");

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();
    private final PlainServiceStandIn standIn =
            new PlainServiceStandIn(SERVER, loopback.ioExecutor, loopback.clock, runs);
    private final PlainServiceClient client = new HttpPlainServiceClient(loopback.connections);

    @AfterEach
    void close() throws Exception {
        standIn.close();
        loopback.close();
    }

    /** Makes a call and returns the status of its answer or the kind of its failure. */
    private Object call(InetSocketAddress address, String key) throws Exception {
        return call(address, key, LoopbackFixture.LONG_TIMEOUT);
    }

    private Object call(InetSocketAddress address, String key, Duration remaining)
            throws Exception {
        return call("POST", address, key, remaining, ServiceAnswer::status);
    }

    private Object call(
            String method,
            InetSocketAddress address,
            String key,
            Duration remaining,
            Function<ServiceAnswer, Object> result)
            throws Exception {
        CompletableFuture<Object> end = new CompletableFuture<>();
        ServiceCall call =
                new ServiceCall(
                        new AttemptId("a"),
                        method,
                        "/dispatch/trucks?x=1",
                        Map.of("Idempotency-Key", key, "Connection", "close"),
                        "body".getBytes(StandardCharsets.UTF_8),
                        remaining);
        client.call(
                address,
                call,
                new ServiceListener() {
                    @Override
                    public void onAnswer(ServiceAnswer answer) {
                        end.complete(result.apply(answer));
                    }

                    @Override
                    public void onFailed(AttemptFailure failure, String detail) {
                        end.complete(failure);
                    }
                });
        return LoopbackFixture.await(end);
    }

    /** Guards against a call that is sent twice or without its idempotency key header. */
    @Test
    void eachCallRunsOnceWithItsKey() throws Exception {
        assertEquals(200, call(standIn.address(), "k1"));
        assertEquals(Map.of("k1", 1), runs);
        call(standIn.address(), "k1");
        assertEquals(Map.of("k1", 2), runs);
    }

    /**
     * Guards against a call that is reported as not run and repeated, when the service has run it
     * and then answers with an error, closes the connection or becomes silent.
     */
    @Test
    void failuresAfterRunningAreNotReportedAsNotRun() throws Exception {
        standIn.failNextAfterRunning(1);
        assertEquals(500, call(standIn.address(), "answered"));
        standIn.disconnectNextAfterRunning(1);
        assertEquals(AttemptFailure.CONNECTION_LOST, call(standIn.address(), "cut"));
        standIn.setUnresponsive(true);
        assertEquals(
                AttemptFailure.SILENT,
                call(standIn.address(), "frozen", LoopbackFixture.SHORT_TIMEOUT));
        assertEquals(Map.of("answered", 1, "cut", 1, "frozen", 1), runs);
    }

    // Guards against a caller that gets the answer to another call: the server answers twice, the
    // second time late, and the answer names no call.
    @ParameterizedTest
    @CsvSource({"GET, 3", "GET, 30", "GET, 150", "HEAD, 30", "OPTIONS, 30", "POST, 30"})
    void secondAnswerDoesNotAnswerTheNextCall(String method, int delayMillis) throws Exception {
        Duration delay = Duration.ofMillis(delayMillis);
        try (RepeatingServer server = new RepeatingServer(n -> numberedAnswer(n), delay)) {
            for (int number = 0; number < 3; number++) {
                Object answer =
                        call(
                                method,
                                server.address(),
                                "k",
                                LoopbackFixture.LONG_TIMEOUT,
                                received -> received.headers().get("x-number"));
                assertEquals("n" + number, answer);
            }
        }
    }

    private static byte[] numberedAnswer(int number) {
        return ("HTTP/1.1 200 OK\r\nx-number: n" + number + "\r\ncontent-length: 0\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against an answer that is delivered although it arrives after the deadline. */
    @Test
    void slowCallEndsAtItsDeadline() throws Exception {
        standIn.setRunTime(LoopbackFixture.SHORT_TIMEOUT.dividedBy(2));
        assertEquals(200, call(standIn.address(), "slow"));
        standIn.setRunTime(LoopbackFixture.SHORT_TIMEOUT.multipliedBy(2));
        assertEquals(
                AttemptFailure.SILENT,
                call(standIn.address(), "late", LoopbackFixture.SHORT_TIMEOUT));
    }

    /**
     * Guards against a call that is not repeated on another server, because an overloaded, leaving
     * or stopped service is reported as a failure after which the call may have run.
     */
    @Test
    void refusedCallsAreReportedAsNotRun() throws Exception {
        standIn.setOverloaded(true);
        assertEquals(AttemptFailure.REFUSED_OVERLOADED, call(standIn.address(), "k"));
        standIn.leave();
        assertEquals(AttemptFailure.REFUSED_LEAVING, call(standIn.address(), "k"));
        assertTrue(LoopbackFixture.await(client.report(SERVER, standIn.address())).leaving());
        standIn.stop();
        assertEquals(AttemptFailure.NOT_SENT, call(standIn.address(), "k"));
        assertEquals(Map.of(), runs);
    }

    /**
     * Guards against a call that is reported as not run, when the service has run it and its answer
     * is malformed or too large.
     */
    @Test
    void unreadableAnswersAreReportedAsServerError() throws Exception {
        byte[] garbage = "garbage\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        byte[] large = RawServer.ok("x".repeat(70_000));
        try (RawServer server = new RawServer(n -> n == 0 ? garbage : large, true)) {
            assertEquals(AttemptFailure.SERVER_ERROR, call(server.address(), "k"));
            assertEquals(AttemptFailure.SERVER_ERROR, call(server.address(), "k"));
        }
    }

    // Guards against a status that HTTP does not define and that is passed on to a caller.
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "20", "600", "999"})
    void oddStatusIsReportedAsServerError(String status) throws Exception {
        byte[] odd =
                ("HTTP/1.1 " + status + " x\r\ncontent-length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.UTF_8);
        try (RawServer server = new RawServer(n -> odd, true)) {
            assertEquals(AttemptFailure.SERVER_ERROR, call(server.address(), "k"));
        }
    }

    /**
     * Guards against a healthy server that is assumed lost, because its report is fetched on a
     * connection that has become silent, and against a restart that does not change the
     * incarnation.
     */
    @Test
    void reportUsesNewConnectionsAndShowsRestarts() throws Exception {
        ServiceReport first = LoopbackFixture.await(client.report(SERVER, standIn.address()));
        assertFalse(first.leaving());
        standIn.silenceOpenConnections();
        assertEquals(first, LoopbackFixture.await(client.report(SERVER, standIn.address())));
        standIn.stop();
        assertEquals(
                ErrorCode.BACKEND_UNREACHABLE,
                LoopbackFixture.awaitErrorCode(client.report(SERVER, standIn.address())));
        standIn.restart();
        ServiceReport second = LoopbackFixture.await(client.report(SERVER, standIn.address()));
        assertFalse(first.incarnation().equals(second.incarnation()));
        assertEquals(200, call(standIn.address(), "after"));
    }
}
