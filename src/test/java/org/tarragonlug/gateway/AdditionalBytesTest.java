package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.ScriptedServer.success;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.PlatformEngineClient;

/** Servers that send additional bytes after a complete answer, on a kept connection. */
class AdditionalBytesTest {
    private static final String HEAD = "HTTP/1.1 503 X\r\n";
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\ntarragonlug-response-seal: s\r\ncontent-length: 7\r\n\r\nforeign";

    /** The additional bytes, and when they are sent. */
    private enum Additional {
        WHOLE_ANSWER(HEAD + "content-length: 0\r\n\r\n", When.AT_ONCE),
        WHOLE_SUCCESS(SUCCESS, When.AT_ONCE),
        REJECTION(HEAD + "tarragonlug-not-executed: 1\r\ncontent-length: 0\r\n\r\n", When.AT_ONCE),
        STATUS_LINE(HEAD, When.AT_ONCE),
        PART_OF_STATUS_LINE("HTTP/1.1 503 X", When.AT_ONCE),
        PART_OF_HEADER(HEAD + "x-y: ", When.AT_ONCE),
        LINE_ENDS("\r\n\r\n", When.AT_ONCE),
        FOREIGN_BYTES("foreign bytes", When.AT_ONCE),
        LATE_WHOLE_ANSWER(HEAD + "content-length: 0\r\n\r\n", When.BEFORE_THE_NEXT),
        LATE_REJECTION(
                HEAD + "tarragonlug-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
                When.BEFORE_THE_NEXT),
        LATE_SUCCESS(SUCCESS, When.BEFORE_THE_NEXT),
        LATE_PART_OF_STATUS_LINE("HTTP/1.1 503 X", When.BEFORE_THE_NEXT),
        LATE_PART_OF_HEADER(HEAD + "x-y: ", When.BEFORE_THE_NEXT),
        LATE_FOREIGN_BYTES("foreign bytes", When.BEFORE_THE_NEXT);

        private final String bytes;
        private final When when;

        Additional(String bytes, When when) {
            this.bytes = bytes;
            this.when = when;
        }
    }

    private enum When {
        /** With the end of the answer. */
        AT_ONCE,
        /** Where the next answer is due, and just before it. */
        BEFORE_THE_NEXT
    }

    private static final int REQUESTS = 12;

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static ScriptedServer.Answer answer(
            Additional additional, ScriptedServer.Request request, String body, int onConnection) {
        String answer = success(request.id(), body);
        String bytes =
                additional.when == When.AT_ONCE
                        ? answer + additional.bytes
                        : onConnection == 1 ? answer : additional.bytes + answer;
        return new ScriptedServer.Answer(bytes, ScriptedServer.End.KEEP);
    }

    // Guards against additional bytes that become the answer to another request: a caller would be
    // told that its request has not run, or get the bytes of another answer.
    @ParameterizedTest
    @EnumSource
    void additionalBytesAnswerNoRequest(Additional additional) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        for (String service : List.of("records", "engines")) {
            String body = service.equals("records") ? "whole" : "id: 1\ndata: whole\n\n";
            fixture.startScripted(
                    service,
                    service,
                    List.of("m1"),
                    (request, number, onConnection) -> {
                        runs.incrementAndGet();
                        return answer(additional, request, body, onConnection);
                    });
        }
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int number = 0; number < REQUESTS; number++) {
            HttpResponse<String> certificate = fixture.send(0, "/issue/1", "", "x");
            HttpResponse<String> stream = fixture.send(0, "/score/1", "m1", "x");
            count(outcomes, certificate, "whole");
            count(outcomes, stream, "id: 1\ndata: whole\n\n");
        }
        assertTrue(runs.get() >= REQUESTS, "runs: " + runs);
        assertTrue(List.of("200 whole", "502").containsAll(outcomes.keySet()), outcomes.toString());
        assertEquals(
                additional.when == When.AT_ONCE ? 2 * REQUESTS : outcomes.get("200 whole"),
                outcomes.get("200 whole"),
                outcomes.toString());
    }

    // Guards against an order that counts as carried out because of additional bytes after the
    // answer to a request: answers to orders name no request, so only the connection protects them.
    @Test
    void orderIsNotSentOnAConnectionOfRequests() throws Exception {
        ScriptedServer server =
                fixture.startScripted(
                        "e1",
                        "engines",
                        List.of("m1"),
                        (request, number, onConnection) -> {
                            boolean order = request.line().contains("/order");
                            String answer =
                                    order
                                            ? ScriptedServer.answer(202, "", "", "")
                                            : success(request.id(), "whole");
                            boolean answered = order && onConnection > 1;
                            return new ScriptedServer.Answer(
                                    answered ? ScriptedServer.answer(200, "", "", "") : answer,
                                    ScriptedServer.End.KEEP);
                        });
        try (LoopbackFixture loopback = new LoopbackFixture()) {
            HttpCall request =
                    HttpCall.get("/a", LoopbackFixture.LONG_TIMEOUT, ConnectionUse.POOLED);
            LoopbackFixture.await(loopback.connections.exchange(server.address(), request));
            OrderResult result =
                    LoopbackFixture.await(
                            new PlatformEngineClient(loopback.connections)
                                    .sendOrder(
                                            new ServerId("e1"),
                                            server.address(),
                                            OrderAction.LOAD,
                                            new ModelKey("m1", ""),
                                            0,
                                            new InstanceId("holder"),
                                            new FencingToken(1),
                                            () -> true));
            assertEquals(OrderResult.ACCEPTED, result);
        }
    }

    private static void count(
            Map<String, Integer> outcomes, HttpResponse<String> answer, String expectedBody) {
        boolean success = answer.statusCode() == 200;
        String whole = answer.body().equals(expectedBody) ? " whole" : " other body";
        outcomes.merge(answer.statusCode() + (success ? whole : ""), 1, Integer::sum);
    }
}
