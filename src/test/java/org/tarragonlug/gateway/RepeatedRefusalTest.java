package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.ScriptedServer.refusal;
import static org.tarragonlug.gateway.ScriptedServer.success;

import java.net.http.HttpResponse;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that write an earlier refusal once more on a kept connection. */
class RepeatedRefusalTest {
    private static final int NOT_RUN = 503;

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static ScriptedServer.Answer keep(String bytes) {
        return new ScriptedServer.Answer(bytes, ScriptedServer.End.KEEP);
    }

    private void startGateway() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    private static int count(ScriptedServer server, String id) {
        return Collections.frequency(server.received(), id);
    }

    // Guards against "not run" for a request that a server runs, because of a refusal that came
    // twice in one packet with the one of the request before.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusalThatCameTwiceDoesNotAnswerTheNextRequest(boolean namesRequest) throws Exception {
        ScriptedServer server =
                fixture.startScripted(
                        "r1",
                        "records",
                        List.of(),
                        (request, number, onConnection) -> {
                            String refusal = refusal(namesRequest ? request.id() : "");
                            return keep(
                                    number == 1
                                            ? refusal + refusal
                                            : success(request.id(), "done"));
                        });
        startGateway();
        assertEquals(NOT_RUN, fixture.send(0, "/issue/1", "", "x").statusCode());
        HttpResponse<String> second = fixture.send(0, "/issue/2", "", "x");
        assertEquals(1, count(server, fixture.lastRequestId()));
        assertNotEquals(NOT_RUN, second.statusCode());
    }

    // Guards against "not run" for a request that a server runs, because of a refusal that was
    // written again where its answer was due.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusalThatComesAgainLaterDoesNotAnswerTheNextRequest(boolean namesRequest)
            throws Exception {
        String[] first = {""};
        ScriptedServer server =
                fixture.startScripted(
                        "r1",
                        "records",
                        List.of(),
                        (request, number, onConnection) -> {
                            first[0] = number == 1 ? request.id() : first[0];
                            String refusal = refusal(namesRequest ? first[0] : "");
                            String success = success(request.id(), "done");
                            return keep(
                                    number == 1
                                            ? refusal(request.id())
                                            : onConnection == 1 ? success : refusal + success);
                        });
        startGateway();
        assertEquals(NOT_RUN, fixture.send(0, "/issue/1", "", "x").statusCode());
        HttpResponse<String> second = fixture.send(0, "/issue/2", "", "x");
        assertEquals(1, count(server, fixture.lastRequestId()));
        assertNotEquals(NOT_RUN, second.statusCode());
    }

    // Guards against a request that runs at a second server, because the first one's refusal of an
    // earlier try was read as the answer to a later one.
    @Test
    void refusalOfAnEarlierTryDoesNotAnswerALaterOneOfTheSameRequest() throws Exception {
        ScriptedServer server =
                fixture.startScripted(
                        "e1",
                        "engines",
                        List.of("m1"),
                        (request, number, onConnection) -> {
                            String stream = success(request.id(), "id: 1\ndata: x\n\n");
                            if (request.id().isEmpty()) {
                                return keep(ScriptedServer.answer(500, "", "", ""));
                            }
                            return keep(
                                    onConnection == 1 && number == 1
                                            ? refusal(request.id())
                                            : onConnection == 1
                                                    ? stream
                                                    : refusal(request.id()) + stream);
                        });
        startGateway();
        HttpResponse<String> answer = fixture.send(0, "/score/1", "m1", "x");
        assertTrue(count(server, fixture.lastRequestId()) >= 2, "the request was sent again");
        assertEquals(200, answer.statusCode());
        assertEquals(2, count(server, fixture.lastRequestId()));
    }

    // Guards against refusals that are no longer believed, although their connection was new.
    @Test
    void refusalWithoutIdOnANewConnectionMeansNotRun() throws Exception {
        fixture.startScripted(
                "r1", "records", List.of(), (request, number, onConnection) -> keep(refusal("")));
        startGateway();
        assertEquals(NOT_RUN, fixture.send(0, "/issue/1", "", "x").statusCode());
    }
}
