package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tarragonlug.trial.GatewayChild;

/**
 * Requests whose server stops wanting them while their connection is being opened.
 *
 * <p>A gateway that does not run for a moment finds the request, and then the news of the server.
 * It chooses the server and begins to open a connection, and reads the news before the connection
 * is open. The news that the store gives are told in virtual time, in {@code WithdrawnForwardTest}:
 * a test can not make sure that a watch of the store is answered in time.
 */
class WithdrawnRequestTest {
    private static final long STEP_MILLIS = 150;

    private static final int REQUESTS = 6;
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final long WAIT_SECONDS = 10;

    private final GatewayFixture fixture = new GatewayFixture();
    private final CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
    private ScriptedServer first;
    private GatewayChild gateway;

    /** What a server says about itself with an answer. */
    enum Notice {
        LEAVING {
            @Override
            String answer(String requestId) {
                String headers = "tarragonlug-response-seal: s\r\nserver-leaving: 1\r\n";
                return ScriptedServer.answer(200, requestId, headers, "certificate");
            }
        },
        PAUSE {
            @Override
            String answer(String requestId) {
                String headers = "tarragonlug-not-executed: 1\r\nretry-after: 8\r\n";
                return ScriptedServer.answer(503, requestId, headers, "");
            }
        };

        abstract String answer(String requestId);
    }

    @AfterEach
    void close() throws Exception {
        mayAnswer.complete(null);
        fixture.close();
    }

    private void start(ScriptedServer.Script script) throws Exception {
        first = fixture.startScripted("first", "records", List.of(), script);
        startEngine();
    }

    private void startGateway() throws Exception {
        fixture.configure(1, "read");
        gateway = fixture.startChild("one");
        openConnections();
    }

    /** Opens connections of callers, so that the next requests need no new ones. */
    private void openConnections() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            answers.add(fixture.sendPrompt(0, "/ask/1", "first-" + number, "m1", ""));
        }
        for (CompletableFuture<HttpResponse<String>> each : answers) {
            assertEquals(200, statusOf(each));
        }
    }

    private static ScriptedServer.Answer success(ScriptedServer.Request request) {
        return new ScriptedServer.Answer(
                ScriptedServer.success(request.id(), "certificate"), ScriptedServer.End.KEEP);
    }

    private void startEngine() {
        fixture.startScripted(
                "engine",
                "engines",
                List.of("m1"),
                (request, number, onConnection) -> {
                    sleep();
                    return new ScriptedServer.Answer(
                            ScriptedServer.success(request.id(), EVENT), ScriptedServer.End.KEEP);
                });
    }

    private static void sleep() {
        try {
            Thread.sleep(STEP_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private CompletableFuture<HttpResponse<String>> read(String id) {
        return fixture.sendPrompt(0, "/read/1", id, "", "");
    }

    private int callerPort() {
        return fixture.gatewaySettings.get(0).callerAddress().getPort();
    }

    private static int statusOf(CompletableFuture<HttpResponse<String>> answer) throws Exception {
        return answer.get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode();
    }

    // Guards against a request that reaches a server after an answer of the server has said that it
    // leaves or wants a pause, because the request was chosen before and waited for its connection.
    @ParameterizedTest
    @EnumSource
    void noticeHoldsForARequestThatWaitsForItsConnection(Notice notice) throws Exception {
        start(
                (request, number, onConnection) -> {
                    mayAnswer.join();
                    return new ScriptedServer.Answer(
                            number == 1
                                    ? notice.answer(request.id())
                                    : ScriptedServer.success(request.id(), "certificate"),
                            ScriptedServer.End.KEEP);
                });
        startGateway();
        CompletableFuture<HttpResponse<String>> before = read("before");
        GatewayFixture.await("the first request has arrived", () -> !first.received().isEmpty());
        HaltedProcess halted = HaltedProcess.halt(gateway.pid());
        CompletableFuture<HttpResponse<String>> answer = read("waiting");
        halted.awaitBytesAt(callerPort());
        mayAnswer.complete(null);
        halted.awaitBytesFrom(first.address().getPort());
        halted.resume();
        statusOf(before);
        assertEquals(503, statusOf(answer));
        assertEquals(List.of("before"), first.received());
    }

    // Guards against requests that are withdrawn although their server still wants them.
    @Test
    void requestIsSentAfterItsConnectionWasOpenedIfNothingHasChanged() throws Exception {
        start((request, number, onConnection) -> success(request));
        startGateway();
        HaltedProcess halted = HaltedProcess.halt(gateway.pid());
        CompletableFuture<HttpResponse<String>> answer = read("waiting");
        halted.awaitBytesAt(callerPort());
        halted.resume();
        assertEquals(200, statusOf(answer));
        assertEquals(List.of("waiting"), first.received());
    }
}
