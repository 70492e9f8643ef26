package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.tarragonlug.gateway.StreamBytes.SEAL;
import static org.tarragonlug.gateway.StreamBytes.chunk;
import static org.tarragonlug.gateway.StreamBytes.event;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers in trouble whose answers have a status that HTTP does not define. */
class OddStatusTest {
    private static final String FOREIGN = "foreign";

    private final GatewayFixture fixture = new GatewayFixture();
    private volatile String status = "";

    @BeforeEach
    void startGateway() throws Exception {
        for (String service : List.of("records", "engines")) {
            fixture.startScripted(service + "-1", service, List.of("m1"), this::answer);
        }
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Answers orders and reports with an error, and requests with the odd status. */
    private ScriptedServer.Answer answer(
            ScriptedServer.Request request, int number, int onConnection) {
        String head =
                "HTTP/1.1 "
                        + (request.id().isEmpty() ? "500" : status)
                        + " Status\r\ntarragonlug-request-id: "
                        + request.id()
                        + "\r\n"
                        + SEAL;
        String body = FOREIGN + event(1);
        String rest =
                number % 2 == 0
                        ? "content-length: " + body.length() + "\r\n\r\n" + body
                        : "transfer-encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
        return new ScriptedServer.Answer(head + rest, ScriptedServer.End.KEEP);
    }

    /** Sends requests on new and kept connections. */
    private void assertNotPassedOn(String path, String model) throws Exception {
        for (int request = 0; request < 4; request++) {
            HttpResponse<String> answer = fixture.send(0, path + request, model, "x");
            assertEquals(502, answer.statusCode(), status);
            assertFalse(answer.body().contains(FOREIGN), answer.body());
        }
    }

    @Nested
    class PlainServices {
        // Guards against a status that no caller knows, under the seal of a server in trouble.
        @ParameterizedTest
        @ValueSource(
                strings = {"000", "099", "101", "199", "600", "601", "999", "20", "2000", "2x0"})
        void callerOfUnsafeRequestLearnsThatTheServerFailed(String odd) throws Exception {
            status = odd;
            assertNotPassedOn("/issue/", "");
        }

        // Guards against the same where the request may run again, at a server that fails as well.
        @ParameterizedTest
        @ValueSource(strings = {"000", "600", "999"})
        void callerOfSafeRequestLearnsThatTheServerFailed(String odd) throws Exception {
            status = odd;
            assertNotPassedOn("/read/", "");
        }
    }

    @Nested
    class ModelServers {
        // Guards against the same on streams, those that may be resumed among them.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "600", "999", "20", "2x0"})
        void callerOfStreamLearnsThatTheServerFailed(String odd) throws Exception {
            status = odd;
            assertNotPassedOn("/score/", "m1");
            assertNotPassedOn("/ask/", "m1");
        }
    }
}
