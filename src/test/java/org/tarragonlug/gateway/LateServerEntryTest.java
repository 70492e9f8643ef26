package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformServerStandIn;

/**
 * Entries of servers that the store carries out late. A write without an answer may take effect
 * seconds later, after newer ones of the same server.
 */
class LateServerEntryTest {
    /** Within this time after its entry says so a server that leaves gets no new requests. */
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);

    private static final int REQUESTS = 20;

    private final GatewayFixture fixture = new GatewayFixture();
    private PlatformServerStandIn server;

    @BeforeEach
    void start() throws Exception {
        fixture.configure(1, "read");
        server = fixture.startServer("r1", "records");
        fixture.startServer("r2", "records");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private JsonNode storedEntry() throws Exception {
        URI uri =
                URI.create(
                        "http://127.0.0.1:"
                                + fixture.store.address().getPort()
                                + "/tarragonlug/objects/servers/r1");
        HttpResponse<byte[]> answer =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(uri).GET().build(),
                                HttpResponse.BodyHandlers.ofByteArray());
        return Json.read(answer.body()).path("spec");
    }

    private int runsOfNewRequests() throws Exception {
        int before = server.runsByRequestId().size();
        for (int count = 0; count < REQUESTS; count++) {
            assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
        }
        return server.runsByRequestId().size() - before;
    }

    // Guards against requests to a server that has left: its report that it is ready, carried out
    // by the store after the one that it leaves, made it ready again.
    @Test
    void reportFromBeforeLeavingDoesNotTakeServerBack() throws Exception {
        JsonNode ready = storedEntry();
        server.leave();
        Thread.sleep(LEAVING_BOUND.toMillis());
        assertEquals(0, runsOfNewRequests());
        fixture.store.put("servers", "r1", ready);
        Thread.sleep(LEAVING_BOUND.toMillis());
        assertEquals(0, runsOfNewRequests());
    }

    // Guards against a server that is never used again: it has started anew under its id, which a
    // later start shows, whatever the earlier one has said.
    @Test
    void laterStartIsUsedAfterEarlierOneHasLeft() throws Exception {
        JsonNode ready = storedEntry();
        server.leave();
        Thread.sleep(LEAVING_BOUND.toMillis());
        long born = ready.path("born").asLong() + 1000;
        fixture.store.put(
                "servers", "r1", ((ObjectNode) ready.deepCopy()).put("born", born).put("seq", 0));
        Thread.sleep(LEAVING_BOUND.toMillis());
        assertTrue(runsOfNewRequests() > 0);
    }
}
