package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformServerStandIn;

/** Runs complete gateways over loopback against stand-ins of the platform's store and servers. */
class GatewayTest {
    private static final String STREAM =
            "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n"
                    + "id: 3\ndata: part 3\n\nid: 4\ndata: part 4\n\n";

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void startOne() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    @Nested
    class Requests {
        @Test
        void deliversServerAnswerUnchanged() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            HttpResponse<String> answer = fixture.send(0, "/issue/1?x=%20y", "", "certificate");
            assertEquals(200, answer.statusCode());
            assertEquals("certificate", answer.body());
            assertEquals(
                    "seal-of-r1",
                    answer.headers().firstValue("tarragonlug-response-seal").orElseThrow());
        }

        @Test
        void runsNonIdempotentRequestOnceWhenServerDoesNotAnswer() throws Exception {
            PlatformServerStandIn first = fixture.startServer("r1", "records");
            PlatformServerStandIn second = fixture.startServer("r2", "records");
            first.setUnresponsive(true);
            second.setUnresponsive(true);
            startOne();
            HttpResponse<String> answer = fixture.send(0, "/issue/1", "", "x");
            assertEquals(504, answer.statusCode());
            int runs =
                    first.runsByRequestId().getOrDefault(fixture.lastRequestId(), 0)
                            + second.runsByRequestId().getOrDefault(fixture.lastRequestId(), 0);
            assertEquals(1, runs);
        }

        @Test
        void refusesRequestWithRetryAfterWhenAllServersRejectIt() throws Exception {
            PlatformServerStandIn server = fixture.startServer("r1", "records");
            server.setRejecting(true);
            startOne();
            HttpResponse<String> answer = fixture.send(0, "/issue/1", "", "x");
            assertEquals(503, answer.statusCode());
            assertTrue(answer.headers().firstValue("retry-after").isPresent());
            assertTrue(server.runsByRequestId().isEmpty());
        }

        @Test
        void answersNotFoundWhenNoRouteMatches() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            assertEquals(404, fixture.send(0, "/nowhere/", "", "x").statusCode());
        }
    }

    @Nested
    class Streams {
        @Test
        void deliversCompleteStream() throws Exception {
            fixture.startServer("e1", "engines", "m1");
            startOne();
            assertEquals(STREAM, fixture.send(0, "/ask/1", "m1", "prompt").body());
        }

        @Test
        void resumesBrokenStreamAtAnotherServerWithoutLossOrRepetition() throws Exception {
            PlatformServerStandIn first = fixture.startServer("e1", "engines", "m1");
            PlatformServerStandIn second = fixture.startServer("e2", "engines", "m1");
            first.breakStreamsAfter(2);
            second.breakStreamsAfter(2);
            startOne();
            HttpResponse<String> answer = fixture.send(0, "/ask/1", "m1", "prompt");
            assertEquals(STREAM, answer.body());
            assertEquals(1, first.runsByRequestId().size());
            assertEquals(1, second.runsByRequestId().size());
        }
    }

    @Nested
    class Models {
        @Test
        void loadsModelsAndAdaptersForWaitingRequests() throws Exception {
            PlatformServerStandIn engine = fixture.startServer("e1", "engines", "m1");
            startOne();
            fixture.startGateway("two");
            GatewayFixture.await("ready", () -> fixture.readiness(1) == 200);
            for (int gateway = 0; gateway < 2; gateway++) {
                assertEquals(STREAM, fixture.send(gateway, "/score/1", "m2", "p").body());
                assertEquals(STREAM, fixture.send(gateway, "/score/1", "m1/a2", "p").body());
            }
            assertTrue(
                    engine.acceptedOrders().contains("model_load m2"),
                    engine.acceptedOrders().toString());
            assertTrue(engine.acceptedOrders().contains("model_load m1/a2"));
        }
    }

    @Nested
    class Configuration {
        @Test
        void installsNewerConfigurationAndIgnoresOlderOne() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            fixture.configure(5, "fetch");
            GatewayFixture.await(
                    "version 5", () -> fixture.send(0, "/fetch/1", "", "x").statusCode() == 200);
            fixture.configure(3, "read");
            Thread.sleep(500);
            assertEquals(404, fixture.send(0, "/read/1", "", "x").statusCode());
        }

        @Test
        void installsConfigurationAfterStoreLostItsHistory() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            fixture.store.discardHistory();
            fixture.configure(2, "fetch");
            GatewayFixture.await(
                    "version 2", () -> fixture.send(0, "/fetch/1", "", "x").statusCode() == 200);
        }

        /**
         * Guards against a gateway that no longer sees new configurations after its open
         * connections to the store stopped transmitting for good. They stay open and report no
         * error, and only new connections work.
         */
        @Test
        void installsConfigurationAfterStoreConnectionsWentSilent() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            fixture.store.silenceOpenConnections();
            fixture.configure(2, "fetch");
            GatewayFixture.await(
                    "version 2", () -> fixture.send(0, "/fetch/1", "", "x").statusCode() == 200);
        }

        @Test
        void servesRequestsAndStaysReadyWhileStoreIsDown() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            fixture.store.answerAllCallsWith(503);
            Thread.sleep(300);
            assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
            assertEquals(200, fixture.readiness(0));
        }

        @Test
        void isNotReadyAndRefusesRequestsUntilStoreAnswers() throws Exception {
            fixture.store.answerAllCallsWith(503);
            fixture.startGateway("one");
            assertEquals(503, fixture.readiness(0));
            assertEquals(503, fixture.send(0, "/read/1", "", "x").statusCode());
        }
    }

    @Nested
    class ServerListings {
        @Test
        void skipsUnreadableListings() throws Exception {
            fixture.store.put("servers", "bad-1", Json.read("\"text\"".getBytes()));
            fixture.store.put("servers", "bad-2", Json.read("{\"service\": 3}".getBytes()));
            fixture.startServer("r1", "records");
            startOne();
            assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
        }

        @Test
        void sendsNoNewRequestsToLeavingServer() throws Exception {
            PlatformServerStandIn leaving = fixture.startServer("r1", "records");
            fixture.startServer("r2", "records");
            startOne();
            leaving.leave();
            Thread.sleep(1500);
            int before = leaving.runsByRequestId().size();
            for (int count = 0; count < 10; count++) {
                assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
            }
            assertEquals(before, leaving.runsByRequestId().size());
        }
    }

    @Nested
    class Drain {
        @Test
        void reportsNotReadyAndStillServesRequestsWhileDraining() throws Exception {
            fixture.startServer("r1", "records");
            startOne();
            Gateway gateway = fixture.gateways.get(0);
            List<Boolean> ended = new java.util.concurrent.CopyOnWriteArrayList<>();
            gateway.drain().thenRun(() -> ended.add(true));
            assertEquals(503, fixture.readiness(0));
            assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
            GatewayFixture.await("drained", () -> !ended.isEmpty());
        }
    }
}
