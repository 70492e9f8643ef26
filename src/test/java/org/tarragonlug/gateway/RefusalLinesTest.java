package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.ScriptedServer.answer;
import static org.tarragonlug.gateway.ScriptedServer.refusal;
import static org.tarragonlug.gateway.ScriptedServer.success;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Finds from the lines of the log alone why a caller was told that its request had not run. */
class RefusalLinesTest {
    private static final int NOT_RUN = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int NOT_FOUND = 404;
    private static final Pattern SEND =
            Pattern.compile("([^,@]+)@127\\.0\\.0\\.1:\\d+/(\\d+)\\+(\\d+)/(\\w+)/(\\d+)ms");

    private final GatewayFixture fixture = new GatewayFixture();
    private final LogLines lines = new LogLines();

    @AfterEach
    void close() throws Exception {
        fixture.close();
        lines.close();
    }

    private void startServer(String id, ScriptedServer.Script script) {
        fixture.startScripted(id, "records", List.of(), script);
    }

    private void startGateway() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    /**
     * Sends a request that must run once, expects a refusal, and returns the line about its end.
     */
    private String sendAndReadEnd() throws Exception {
        assertEquals(NOT_RUN, fixture.send(0, "/issue/1", "", "x").statusCode());
        return lines.await("forward_ended", "request=" + fixture.lastRequestId() + " ");
    }

    /**
     * Waits for the line about a late answer to a request. Bytes on an idle connection may be read
     * only with the next request on it, which skips the answer then.
     */
    private String awaitLateAnswer(String request) throws Exception {
        List<String> found = new ArrayList<>();
        GatewayFixture.await(
                "late answer to " + request,
                () -> {
                    found.addAll(lines.of("forward_answer_late", "request=" + request + " "));
                    found.addAll(lines.of("forward_answer_skipped", "answers=" + request + " "));
                    return !found.isEmpty() || fixture.send(0, "/issue/1", "", "x") == null;
                });
        return found.get(0);
    }

    private static ScriptedServer.Answer keep(String bytes, ScriptedServer.Later... later) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.End.KEEP, null, List.of(later));
    }

    // Guards against a refused request that ran without a trace in the log: the server says that it
    // did not run it, and answers it in the same packet, or later on the idle connection.
    @ParameterizedTest
    @ValueSource(longs = {0, 50})
    void lateAnswerToRefusedRequestNamesRequestAndConnection(long delayMillis) throws Exception {
        startServer(
                "liar",
                (request, number, place) -> {
                    String answer = success(request.id(), "done");
                    return delayMillis == 0
                            ? keep(refusal(request.id()) + answer)
                            : keep(
                                    refusal(request.id()),
                                    new ScriptedServer.Later(delayMillis, answer));
                });
        startGateway();
        String end = sendAndReadEnd();
        assertEquals("rejected", LogLines.value(end, "not_run"));
        Matcher send = SEND.matcher(LogLines.value(end, "sends"));
        assertTrue(send.matches(), end);
        assertEquals(List.of("liar", "BUSY"), List.of(send.group(1), send.group(4)));
        String request = "request=" + fixture.lastRequestId() + " ";
        String late = awaitLateAnswer(fixture.lastRequestId());
        assertEquals("200", LogLines.value(late, "status"));
        assertEquals(send.group(2), LogLines.value(late, "connection"));
        String sent = lines.await("forward_sent", request);
        assertEquals(send.group(2), LogLines.value(sent, "connection"));
    }

    // Guards against the same failure where the late answer meets the next request.
    @Test
    void skippedAnswerNamesTheRequestThatItAnswers() throws Exception {
        String[] refused = new String[1];
        startServer(
                "liar",
                (request, number, place) -> {
                    if (refused[0] == null) {
                        refused[0] = request.id();
                        return keep(refusal(request.id()));
                    }
                    String late = success(refused[0], "done");
                    return keep(late + success(request.id(), "done"));
                });
        startGateway();
        assertEquals("rejected", LogLines.value(sendAndReadEnd(), "not_run"));
        GatewayFixture.await(
                "served", () -> fixture.send(0, "/issue/1", "", "x").statusCode() == 200);
        String skipped = lines.await("forward_answer_skipped", "answers=" + refused[0] + " ");
        assertEquals("200", LogLines.value(skipped, "status"));
    }

    // Guards against a status that promises "not run" without the server's statement, of which the
    // log does not tell where it came from.
    @Test
    void unconfirmedStatusOfTheServerIsNamedAndIsNoRefusal() throws Exception {
        String seal = "tarragonlug-response-seal: s\r\n";
        startServer(
                "sealing",
                (request, number, place) -> keep(answer(NOT_RUN, request.id(), seal, "")));
        startGateway();
        assertEquals(BAD_GATEWAY, fixture.send(0, "/issue/1", "", "x").statusCode());
        String request = "request=" + fixture.lastRequestId() + " ";
        String end = lines.await("forward_ended", request);
        assertEquals("failed_answer_ambiguous", LogLines.value(end, "outcome"));
        assertFalse(end.contains(" not_run="), end);
        assertTrue(LogLines.value(end, "sends").contains("/ANSWERED/"), end);
        String ambiguous = lines.await("forward_ambiguous", request);
        assertEquals(Integer.toString(NOT_RUN), LogLines.value(ambiguous, "status"));
    }

    // Guards against refusals of which the log does not tell how many servers rejected them.
    @Test
    void eachRejectedSendIsDescribedInTheLastLine() throws Exception {
        startServer("full-1", (request, number, place) -> keep(refusal(request.id())));
        startServer("full-2", (request, number, place) -> keep(refusal(request.id())));
        startGateway();
        GatewayFixture.await("both are used", () -> sendAndReadEnd().contains(" rejected=2 "));
        String end = lines.await("forward_ended", "request=" + fixture.lastRequestId() + " ");
        assertEquals("0", LogLines.value(end, "unwritten"));
        assertEquals(2, SEND.matcher(LogLines.value(end, "sends")).results().count(), end);
    }

    // Guards against a line that leaves open whether a server ever got the request.
    @Test
    void requestThatReachedNoServerSaysSo() throws Exception {
        startGateway();
        String end = sendAndReadEnd();
        assertEquals("never_sent", LogLines.value(end, "not_run"));
        assertFalse(end.contains(" sends="), end);
    }

    // Guards against a line that speaks of a promise where the caller's status makes none.
    @Test
    void unknownRouteIsNoPromise() throws Exception {
        startGateway();
        assertEquals(NOT_FOUND, fixture.send(0, "/unknown/1", "", "x").statusCode());
        String end = lines.await("forward_ended", "request=" + fixture.lastRequestId() + " ");
        assertEquals("refused_no_route", LogLines.value(end, "outcome"));
        assertFalse(end.contains(" not_run="), end);
    }

    // Guards against a log whose volume grows with ordinary requests.
    @Test
    void ordinaryRequestHasTwoLinesWithoutDescriptions() throws Exception {
        startServer("serving", (request, number, place) -> keep(success(request.id(), "done")));
        startGateway();
        assertEquals(200, fixture.send(0, "/issue/1", "", "x").statusCode());
        String request = "request=" + fixture.lastRequestId() + " ";
        String end = lines.await("forward_ended", request);
        assertFalse(end.contains(" sends=") || end.contains(" not_run="), end);
        assertEquals(1, lines.of("forward_sent", request).size());
        assertEquals(0, lines.of("forward_rejected", request).size());
    }
}
