package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformServerStandIn;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** A gateway whose store is away for a moment and comes back from an older copy of itself. */
class StoreRestoredTest {
    /** How long the store is away. */
    private static final Duration AWAY = Duration.ofMillis(300);

    /** Within this time a change of the configuration takes effect, also after an outage. */
    private static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(7);

    /** Within this time after its entry says so a server that leaves gets no new requests. */
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);

    /** How long entries of the copy that are not renewed stay listed. */
    private static final Duration EXPIRY = Duration.ofMillis(3600);

    private final GatewayFixture fixture = new GatewayFixture();

    @BeforeEach
    void stateEras() {
        fixture.store.stateEra(1);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void startGateway() throws Exception {
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    /** Writes other objects, so that the revisions after the copy are given out once. */
    private void raiseRevisions() throws Exception {
        for (int count = 0; count < 20; count++) {
            fixture.store.put("other", "object-" + count, Json.object());
        }
    }

    private void returnFrom(PlatformStoreStandIn.Copy copy) throws Exception {
        fixture.store.setAway(true);
        Thread.sleep(AWAY.toMillis());
        fixture.store.returnFrom(copy);
    }

    private int status(String path) throws Exception {
        return fixture.send(0, path, "", "x").statusCode();
    }

    private void awaitRoute(String path, Duration bound) throws Exception {
        long end = System.nanoTime() + bound.toNanos();
        while (status(path) != 200 && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        assertEquals(200, status(path), path + " after " + bound);
    }

    private String admin(String path) throws Exception {
        int port = fixture.gatewaySettings.get(0).adminAddress().getPort();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }

    @Nested
    class Observability {
        /** Guards against an operator who cannot see whether an instance has learnt of a return. */
        @Test
        void stateAndMetricsShowThePresentEra() throws Exception {
            fixture.configure(1, "first");
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            startGateway();
            assertTrue(admin("/metrics").contains("tarragonlug_store_era 1.0"));
            returnFrom(copy);
            GatewayFixture.await(
                    "the era in the state", () -> admin("/state").contains("\"storeEra\":2"));
            assertTrue(admin("/metrics").contains("tarragonlug_store_era 2.0"));
        }
    }

    @Nested
    class Configuration {
        /**
         * Guards against a new configuration being ignored because its revision is below a lost
         * one.
         */
        @Test
        void newVersionWithLowerRevisionTakesEffect() throws Exception {
            fixture.configure(1, "first");
            fixture.startServer("r1", "records");
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            startGateway();
            raiseRevisions();
            fixture.configure(2, "second");
            awaitRoute("/second/1", CONFIGURATION_BOUND);
            returnFrom(copy);
            fixture.configure(2, "second");
            fixture.configure(3, "third");
            awaitRoute("/third/1", CONFIGURATION_BOUND);
        }

        /** Guards against a configuration in force being replaced by the older one of the copy. */
        @Test
        void versionInForceStaysWhileTheCopyHasAnOlderOne() throws Exception {
            fixture.configure(1, "first");
            fixture.startServer("r1", "records");
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            startGateway();
            fixture.configure(2, "second");
            awaitRoute("/second/1", CONFIGURATION_BOUND);
            returnFrom(copy);
            for (int count = 0; count < 20; count++) {
                assertEquals(200, status("/second/1"));
                assertEquals(404, status("/first/1"));
                Thread.sleep(100);
            }
        }

        /** Guards against a second return from the same copy being taken for the first one. */
        @Test
        void newVersionTakesEffectAfterTwoReturnsFromOneCopy() throws Exception {
            fixture.configure(1, "first");
            fixture.startServer("r1", "records");
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            startGateway();
            raiseRevisions();
            fixture.configure(2, "second");
            awaitRoute("/second/1", CONFIGURATION_BOUND);
            returnFrom(copy);
            fixture.configure(3, "third");
            awaitRoute("/third/1", CONFIGURATION_BOUND);
            returnFrom(copy);
            fixture.configure(4, "fourth");
            awaitRoute("/fourth/1", CONFIGURATION_BOUND);
        }
    }

    @Nested
    class Keys {
        private int statusWithKey(String key) throws Exception {
            HttpRequest request =
                    HttpRequest.newBuilder(fixture.uri(0, "/read/1"))
                            .version(HttpClient.Version.HTTP_1_1)
                            .header("Tarragonlug-Request-Id", "with-" + key)
                            .header("Authorization", "Token " + key)
                            .build();
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        }

        /**
         * Guards against a new key being refused for good because an older copy does not have it.
         */
        @Test
        void unknownKeyIsNotRefusedByAnOlderConfiguration() throws Exception {
            fixture.configureAccounts(1, "[{\"name\": \"a\", \"api_keys\": [\"key-a\"]}]");
            fixture.startServer("r1", "records");
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            fixture.configureAccounts(
                    2, "[{\"name\": \"a\", \"api_keys\": [\"key-a\", \"key-b\"]}]");
            GatewayFixture.await("version 2 in force", () -> statusWithKey("key-b") == 200);
            assertEquals(401, statusWithKey("key-c"));
            returnFrom(copy);
            assertEquals(200, statusWithKey("key-b"));
            assertEquals(503, statusWithKey("key-d"));
        }
    }

    @Nested
    class Servers {
        private PlatformServerStandIn first;
        private PlatformServerStandIn second;

        private void startBoth() throws Exception {
            fixture.configure(1, "read");
            first = fixture.startServer("r1", "records");
            second = fixture.startServer("r2", "records");
        }

        private void assertNotUsed(PlatformServerStandIn server) throws Exception {
            int before = server.runsByRequestId().size();
            for (int count = 0; count < 20; count++) {
                assertEquals(200, status("/read/1"));
            }
            assertEquals(before, server.runsByRequestId().size());
        }

        /** Guards against a leaving server being used because its entry has a lower revision. */
        @Test
        void serverThatLeavesAfterTheReturnGetsNoNewRequests() throws Exception {
            startBoth();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            startGateway();
            raiseRevisions();
            first.renewEntry();
            Thread.sleep(500);
            returnFrom(copy);
            second.renewEntry();
            first.leave();
            Thread.sleep(LEAVING_BOUND.toMillis());
            assertNotUsed(first);
        }

        /** Guards against a server that has left being taken back from an entry of the copy. */
        @Test
        void serverThatLeftBeforeTheReturnStaysLeft() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.leave();
            Thread.sleep(500);
            first.removeEntry();
            Thread.sleep(500);
            assertNotUsed(first);
            returnFrom(copy);
            second.renewEntry();
            assertNotUsedUntilExpiry(first);
        }

        /** Removes the entry when the platform would, since the stand-in of the store does not. */
        private void assertNotUsedUntilExpiry(PlatformServerStandIn server) throws Exception {
            CompletableFuture.delayedExecutor(EXPIRY.toMillis(), TimeUnit.MILLISECONDS)
                    .execute(server::removeEntry);
            for (int count = 0; count < 10; count++) {
                assertNotUsed(server);
                Thread.sleep(EXPIRY.toMillis() / 10);
            }
        }

        private void awaitUse(PlatformServerStandIn server) throws Exception {
            int before = server.runsByRequestId().size();
            GatewayFixture.await(
                    "used",
                    () -> status("/read/1") == 200 && server.runsByRequestId().size() > before);
        }

        /** Guards against a leaving server that is still listed becoming ready from the copy. */
        @Test
        void serverThatWasLeavingBeforeTheReturnStaysLeaving() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.leave();
            Thread.sleep(LEAVING_BOUND.toMillis());
            returnFrom(copy);
            second.renewEntry();
            assertNotUsedUntilExpiry(first);
        }

        /** Guards against a server being taken back that left without saying so, also twice. */
        @Test
        void serverWhoseEntryWasOnlyRemovedStaysLeft() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.removeEntry();
            Thread.sleep(LEAVING_BOUND.toMillis());
            returnFrom(copy);
            assertNotUsedUntilExpiry(first);
            returnFrom(copy);
            assertNotUsedUntilExpiry(first);
        }

        /** Guards against a leave that a server told with an answer being undone by the copy. */
        @Test
        void serverThatSaidWithAnAnswerThatItLeavesGetsNoNewRequests() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.setAnnouncingLeave(true);
            awaitUse(first);
            first.removeEntry();
            Thread.sleep(500);
            returnFrom(copy);
            first.renewEntry();
            assertNotUsedUntilExpiry(first);
        }

        /** Guards against a running server that stays unused because its entry expired once. */
        @Test
        void serverThatIsStillListedWhenSilentOnesAreRemovedIsUsed() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.removeEntry();
            Thread.sleep(LEAVING_BOUND.toMillis());
            returnFrom(copy);
            assertNotUsed(first);
            awaitUse(first);
        }

        /** Guards against a server that started again being taken for the run that left. */
        @Test
        void serverThatStartedAgainIsUsedAtOnce() throws Exception {
            startBoth();
            startGateway();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first.leave();
            Thread.sleep(LEAVING_BOUND.toMillis());
            returnFrom(copy);
            first.restart();
            Thread.sleep(LEAVING_BOUND.toMillis());
            awaitUse(first);
        }

        /** Guards against a server being dropped because the copy does not have its entry yet. */
        @Test
        void serverThatTheCopyDoesNotHaveIsKeptUntilItWritesAgain() throws Exception {
            fixture.configure(1, "read");
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            first = fixture.startServer("r1", "records");
            startGateway();
            returnFrom(copy);
            for (int count = 0; count < 10; count++) {
                assertEquals(200, status("/read/1"));
                Thread.sleep(100);
            }
            first.renewEntry();
            Thread.sleep(3000);
            assertEquals(200, status("/read/1"));
        }
    }

    @Nested
    class QuarantinedRequests {
        private static final String TRAIT = "part:feed";

        private int requests;

        private void start() throws Exception {
            fixture.configure(1, "read");
            fixture.startServer("e1", "engines", "m1");
            startGateway();
        }

        /**
         * Waits until the gateway decides which requests are quarantined, as it then also plans.
         */
        private void awaitDeciding() throws Exception {
            for (String lease : List.of("orders-0", "orders-1")) {
                GatewayFixture.await(
                        lease, () -> !fixture.store.content("leases", lease).isMissingNode());
            }
            Thread.sleep(1000);
        }

        /** Writes the record, and waits so that no request is under way when it takes effect. */
        private void storeQuarantine(String... traits) throws Exception {
            ObjectNode record = Json.object().put("formatVersion", 1);
            ArrayNode list = record.putArray("traits");
            Arrays.stream(traits).forEach(list::add);
            fixture.store.put("quarantine", "current", record);
            Thread.sleep(1000);
        }

        private boolean isServed() throws Exception {
            requests++;
            return fixture.sendPrompt(0, "/ask/1", "p" + requests, "m1", "feed:20,x:100")
                            .get(10, TimeUnit.SECONDS)
                            .statusCode()
                    == 200;
        }

        private void assertStaysServed(boolean served) throws Exception {
            for (int count = 0; count < 40; count++) {
                assertEquals(served, isServed(), "request " + count);
                Thread.sleep(100);
            }
        }

        private JsonNode storedTraits() {
            return fixture.store.content("quarantine", "current").path("traits");
        }

        /** Guards against requests that crash servers being released by a copy without them. */
        @Test
        void traitThatTheCopyLacksStaysQuarantinedAndIsStoredAgain() throws Exception {
            start();
            awaitDeciding();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            storeQuarantine(TRAIT);
            GatewayFixture.await("quarantined", () -> !isServed());
            returnFrom(copy);
            assertStaysServed(false);
            assertEquals(TRAIT, storedTraits().path(0).asText());
        }

        /** Guards against released requests being refused again because of the copy's record. */
        @Test
        void traitThatWasReleasedSinceTheCopyStaysReleased() throws Exception {
            start();
            awaitDeciding();
            storeQuarantine(TRAIT);
            GatewayFixture.await("quarantined", () -> !isServed());
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            storeQuarantine();
            GatewayFixture.await("released", this::isServed);
            returnFrom(copy);
            assertStaysServed(true);
            assertEquals(0, storedTraits().size());
        }

        /** Guards against a later record being ignored because its revision is below a lost one. */
        @Test
        void recordThatIsWrittenAfterTheReturnIsUsed() throws Exception {
            start();
            PlatformStoreStandIn.Copy copy = fixture.store.copy();
            raiseRevisions();
            storeQuarantine(TRAIT);
            GatewayFixture.await("quarantined", () -> !isServed());
            returnFrom(copy);
            GatewayFixture.await("stored again", () -> storedTraits().size() == 1);
            storeQuarantine();
            GatewayFixture.await("released", this::isServed);
        }
    }
}
