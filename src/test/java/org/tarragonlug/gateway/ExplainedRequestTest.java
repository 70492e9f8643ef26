package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.ScriptedServer.refusal;
import static org.tarragonlug.gateway.ScriptedServer.success;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.explain.RequestExplanation;

/** Guards against lines of a gateway from which the cause of a failure can no longer be read. */
class ExplainedRequestTest {
    private final GatewayFixture fixture = new GatewayFixture();
    private final LogLines lines = new LogLines();

    @AfterEach
    void close() throws Exception {
        fixture.close();
        lines.close();
    }

    private void start(ScriptedServer.Script script) throws Exception {
        fixture.startScripted("server", "records", List.of(), script);
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    private int send() throws Exception {
        int status = fixture.send(0, "/issue/1", "", "x").statusCode();
        lines.await("forward_ended", "request=" + fixture.lastRequestId() + " ");
        return status;
    }

    private void assertExplained(String conclusion) throws Exception {
        RequestExplanation explanation = new RequestExplanation(fixture.lastRequestId());
        explanation.read(new StringReader(lines.text()));
        List<String> printed = new ArrayList<>();
        assertTrue(explanation.print(printed::add), printed::toString);
        String last = "  " + conclusion + ":";
        assertTrue(printed.stream().anyMatch(line -> line.startsWith(last)), printed::toString);
    }

    private static ScriptedServer.Answer answer(String bytes, ScriptedServer.End end) {
        return new ScriptedServer.Answer(bytes, end, null, List.of());
    }

    @Test
    void refusalOfARequestThatRanIsExplained() throws Exception {
        start(
                (request, number, place) ->
                        answer(
                                refusal(request.id()) + success(request.id(), "done"),
                                ScriptedServer.End.KEEP));
        assertEquals(503, send());
        lines.await("forward_answer_late", "request=" + fixture.lastRequestId() + " ");
        assertExplained("RAN_THOUGH_REFUSED");
    }

    @Test
    void serverThatBreaksOffIsExplained() throws Exception {
        start(
                (request, number, place) -> {
                    String whole = success(request.id(), "done");
                    String part = whole.substring(0, whole.length() - 2);
                    return answer(part, ScriptedServer.End.CLOSE);
                });
        assertEquals(502, send());
        assertExplained("SERVER_LOST");
    }

    @Test
    void refusalByAFullServerIsExplained() throws Exception {
        start((request, number, place) -> answer(refusal(request.id()), ScriptedServer.End.KEEP));
        assertEquals(503, send());
        assertExplained("REJECTED");
    }

    @Test
    void answeredRequestIsExplained() throws Exception {
        start(
                (request, number, place) ->
                        answer(success(request.id(), "done"), ScriptedServer.End.KEEP));
        assertEquals(200, send());
        assertExplained("ANSWERED");
    }
}
