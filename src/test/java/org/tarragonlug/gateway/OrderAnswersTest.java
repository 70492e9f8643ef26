package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.platform.PlatformEngineClient;

/** Servers that answer an order or the request for a report twice, the second time late. */
class OrderAnswersTest {
    private static final ServerId SERVER = new ServerId("e1");

    /** When the second answer is sent, and when the next call is made. */
    private enum Lateness {
        WHILE_IDLE(20, 0, 60),
        AFTER_THE_NEXT_CALL(30, 0, 0),
        LONG_AFTER_THE_NEXT_CALL(150, 0, 0),
        SPLIT_AROUND_THE_NEXT_CALL(0, 40, 10),
        SPLIT_AFTER_THE_NEXT_CALL(20, 40, 0);

        private final long beforeFirstHalfMillis;
        private final long beforeSecondHalfMillis;
        private final long nextCallMillis;

        Lateness(long beforeFirstHalfMillis, long beforeSecondHalfMillis, long nextCallMillis) {
            this.beforeFirstHalfMillis = beforeFirstHalfMillis;
            this.beforeSecondHalfMillis = beforeSecondHalfMillis;
            this.nextCallMillis = nextCallMillis;
        }

        /** Returns the part of the second answer with a number, after the time for it. */
        String part(long number, String answer) {
            int half = answer.length() / 2;
            if (number == 0) {
                sleep(beforeFirstHalfMillis);
                return answer.substring(0, half);
            }
            sleep(number == 1 ? beforeSecondHalfMillis : 1000);
            return number == 1 ? answer.substring(half) : "";
        }
    }

    private enum Call {
        ORDER(
                ScriptedServer.answer(202, "", "", ""),
                ScriptedServer.answer(409, "", "", ""),
                List.of("ACCEPTED", "CONFLICT"),
                "UNKNOWN",
                Duration.ofMillis(220)),
        REPORT(report(1), report(2), List.of("seq 1", "seq 2"), "seq ?", Duration.ofMillis(400));

        private final List<String> answers;
        private final List<String> results;

        /** Result without an answer. */
        private final String unknown;

        private final Duration timeout;

        Call(String first, String second, List<String> results, String unknown, Duration timeout) {
            this.answers = List.of(first, second);
            this.results = results;
            this.unknown = unknown;
            this.timeout = timeout;
        }

        private static String report(int orders) {
            return ScriptedServer.answer(
                    200, "", "", "{\"models\":[],\"busy\":false,\"seq\":" + orders + "}");
        }
    }

    private final GatewayFixture fixture = new GatewayFixture();
    private final LoopbackFixture loopback = new LoopbackFixture();
    private final PlatformEngineClient client = new PlatformEngineClient(loopback.connections);

    @AfterEach
    void close() throws Exception {
        loopback.close();
        fixture.close();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletionStage<String> start(Call call, ScriptedServer server) {
        if (call == Call.REPORT) {
            return client.fetchReport(SERVER, server.address())
                    .handle(
                            (report, failure) ->
                                    "seq " + (report == null ? "?" : report.orderCount()));
        }
        return client.sendOrder(
                        SERVER,
                        server.address(),
                        OrderAction.LOAD,
                        new ModelKey("m1", ""),
                        0,
                        new InstanceId("holder"),
                        new FencingToken(1),
                        () -> true)
                .thenApply(OrderResult::name);
    }

    private static List<Arguments> pairs() {
        List<Arguments> pairs = new ArrayList<>();
        for (Call first : Call.values()) {
            for (Call second : Call.values()) {
                for (Lateness lateness : Lateness.values()) {
                    pairs.add(Arguments.of(first, second, lateness));
                }
            }
        }
        return pairs;
    }

    // Guards against an order that counts as accepted although it was refused, and against a report
    // of before: answers to both name nothing, so a late answer would answer the next call.
    @ParameterizedTest
    @MethodSource("pairs")
    void secondAnswerDoesNotAnswerTheNextCall(Call first, Call second, Lateness lateness)
            throws Exception {
        String firstAnswer = first.answers.get(0);
        ScriptedServer server =
                fixture.startScripted(
                        "e1",
                        "engines",
                        List.of("m1"),
                        (request, number, onConnection) ->
                                number == 1
                                        ? new ScriptedServer.Answer(
                                                firstAnswer,
                                                ScriptedServer.End.KEEP,
                                                part -> lateness.part(part, firstAnswer))
                                        : new ScriptedServer.Answer(
                                                second.answers.get(1), ScriptedServer.End.KEEP));
        assertAnswered(first.results.get(0), first, server);
        sleep(lateness.nextCallMillis);
        assertAnswered(second.results.get(1), second, server);
    }

    /** Fails unless a call gets its answer. Only a timeout, on a busy machine, may prevent that. */
    private void assertAnswered(String expected, Call call, ScriptedServer server)
            throws Exception {
        long startedAt = System.nanoTime();
        String result = LoopbackFixture.await(start(call, server));
        boolean timedOut = System.nanoTime() - startedAt >= call.timeout.toNanos();
        assertEquals(timedOut && result.equals(call.unknown) ? call.unknown : expected, result);
    }

    // Guards against a report that is read from the beginning of one answer and the repetition that
    // follows it, when the server stops within the body and sends the answer again from its head.
    @Test
    void reportThatIsCutAndSentAgainIsNoReport() throws Exception {
        String whole = Call.REPORT.answers.get(0);
        int head = whole.indexOf("\r\n\r\n") + 4;
        for (int cut = head; cut < whole.length(); cut++) {
            String bytes = whole.substring(0, cut) + whole;
            try (ScriptedServer server = answering("cut-" + cut, bytes)) {
                assertEquals("seq ?", LoopbackFixture.await(start(Call.REPORT, server)));
            }
        }
    }

    // Guards against an order that counts as refused or unknown although the server has accepted
    // it, or as accepted by a status of other bytes.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5})
    void orderAnswerThatIsCutAndSentAgainKeepsItsStatus(int sentOfBody) throws Exception {
        String whole = ScriptedServer.answer(202, "", "", "{\"a\":1}");
        int bodyAt = whole.indexOf("\r\n\r\n") + 4;
        String bytes = whole.substring(0, bodyAt + sentOfBody) + whole;
        ScriptedServer server = answering("e1", bytes);
        assertNotEquals("CONFLICT", LoopbackFixture.await(start(Call.ORDER, server)));
    }

    private ScriptedServer answering(String id, String bytes) {
        return fixture.startScripted(
                id,
                "engines",
                List.of("m1"),
                (request, number, onConnection) ->
                        new ScriptedServer.Answer(bytes, ScriptedServer.End.KEEP));
    }
}
