package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.VersionWeight;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.measure.RequestScenario;
import org.tarragonlug.measure.RequestSimulation;

/** Tests a request until it is sent: routing, admission, waiting and server selection. */
class RequestWaitingTest {
    private static Route route(
            String name, String prefix, List<String> models, Map<String, String> headers) {
        Route base = RequestScenario.engineRoute("/x", true, 1);
        return new Route(
                new RouteName(name),
                prefix,
                models,
                headers,
                base.target(),
                base.pool(),
                base.service(),
                List.of(
                        new VersionWeight(new ArtifactId("w", "1"), 1),
                        new VersionWeight(new ArtifactId("w", "2"), 3)),
                true,
                false,
                Priority.NORMAL,
                base.defaultTimeout(),
                base.maximumTimeout(),
                1,
                1,
                1);
    }

    private static RequestDescription description(
            String path, String model, Map<String, String> headers) {
        RequestDescription plain =
                RequestScenario.description(
                        path, model, RequestFixture.TIMEOUT, Optional.empty(), "b");
        return new RequestDescription(
                "POST",
                path,
                plain.artifact(),
                headers,
                plain.timeout(),
                Optional.empty(),
                Optional.empty(),
                plain.bodyHash(),
                1,
                0,
                true);
    }

    @Nested
    class Routing {
        private final RouteTable table =
                new RouteTable(
                        new Configuration(
                                new ConfigurationVersion(1),
                                List.of(
                                        route("root", "/", List.of(), Map.of()),
                                        route("v1", "/v1/", List.of(), Map.of()),
                                        route("v1-beta", "/v1", List.of(), Map.of("x", "beta")),
                                        route("v1-w", "/v1", List.of("w"), Map.of())),
                                List.of()));

        private String match(String path, String model, Map<String, String> headers) {
            return table.match(description(path, model, headers)).orElseThrow().name().value();
        }

        /** Guards against a general route that matches requests of a more specific route. */
        @Test
        void prefersLongerPrefixThenModelThenMoreHeaders() {
            assertEquals("root", match("/other", "m", Map.of()));
            assertEquals("v1", match("/v1/chat", "m", Map.of("x", "alpha")));
            assertEquals("v1-beta", match("/v1/chat", "m", Map.of("x", "beta")));
            assertEquals("v1-w", match("/v1", "w@2", Map.of("x", "beta")));
        }

        /**
         * Guards against a prefix that matches part of a path segment, such as /v1 for the path
         * /v10/chat.
         */
        @Test
        void matchesCompletePathSegmentsOnly() {
            assertEquals("root", match("/v10/chat", "m", Map.of()));
        }

        /** Guards against versions whose share of the requests differs from their weights. */
        @Test
        void drawsVersionsInProportionToWeights() {
            Random random = new Random(1);
            Route route = table.match(description("/v1", "w", Map.of())).orElseThrow();
            int second = 0;
            for (int index = 0; index < 4_000; index++) {
                ArtifactId drawn =
                        RouteTable.artifact(route, description("/v1", "w", Map.of()), random)
                                .orElseThrow();
                second += drawn.version().equals("2") ? 1 : 0;
            }
            assertEquals(3_000, second, 150);
            assertEquals(
                    Optional.of(new ArtifactId("m", "7")),
                    RouteTable.artifact(route, description("/v1", "m@7", Map.of()), random));
        }
    }

    @Nested
    class Refusal {
        private final RequestFixture fixture = new RequestFixture();

        /**
         * Guards against requests that wait until their deadline although no route or artifact can
         * ever serve them.
         */
        @Test
        void refusesRequestWithoutMatchingRouteOrArtifact() {
            fixture.arrive("r1", "/nowhere", "m");
            assertEquals(RefusalReason.ROUTE_NOT_FOUND, fixture.lastRefusal().reason());
            fixture.arrive("r2", "/chat", "unknown");
            assertEquals(RefusalReason.ARTIFACT_NOT_FOUND, fixture.lastRefusal().reason());
            fixture.arrive("r3", "/chat", "@@");
            assertEquals(RefusalReason.ARTIFACT_NOT_FOUND, fixture.lastRefusal().reason());
        }

        /**
         * Guards against a flood of requests on one route that reaches the servers, because the
         * route's rate limit is not applied.
         */
        @Test
        void limitsRequestsPerSecondOfRoute() {
            RequestFixture limited =
                    new RequestFixture(9, RequestScenario.limitedRoute("/chat", 2));
            for (int index = 0; index < 3; index++) {
                limited.arrive("r" + index, "/chat", "m");
            }
            assertEquals(RefusalReason.RATE_LIMITED, limited.lastRefusal().reason());
            assertEquals(Duration.ofMillis(500), limited.lastRefusal().retryAfter().orElseThrow());
            limited.advance(500);
            limited.arrive("r9", "/chat", "m");
            assertEquals(3, limited.allOf(RequestCommand.SendGeneration.class).size());
        }

        /** Guards against sending a request whose deadline has passed on arrival. */
        @Test
        void refusesRequestWhoseDeadlineHasPassed() {
            fixture.arrive("r1", "/once", "m", Duration.ZERO, Optional.empty());
            assertEquals(RefusalReason.DEADLINE_TOO_NEAR, fixture.lastRefusal().reason());
            assertTrue(fixture.allOf(RequestCommand.SendGeneration.class).isEmpty());
        }

        /** Guards against reverting to an older configuration that arrives after a newer one. */
        @Test
        void ignoresOlderConfiguration() {
            fixture.post(
                    new RequestEvent.ConfigurationChanged(
                            RequestScenario.configuration(4, 1, List.of())));
            fixture.arrive("r1", "/chat", "m");
            assertEquals("r1", fixture.lastGeneration().request().value());
        }
    }

    @Nested
    class ColdModel {
        private final RequestFixture fixture = new RequestFixture();

        /** Guards against a queue that grows without limit while a model is loading. */
        @Test
        void refusesRequestWhenQueueOfColdModelIsFull() {
            RequestFixture small =
                    new RequestFixture(2, RequestScenario.engineRoute("/chat", true, 1));
            for (int index = 0; index < 3; index++) {
                small.arrive("r" + index, "/chat", "cold");
            }
            assertEquals(RefusalReason.QUEUE_FULL, small.lastRefusal().reason());
            assertEquals("r2", small.lastRefusal().request().value());
        }

        /**
         * Guards against a decider that does not load a model or underestimates its demand, because
         * the demand is reported too late or only for the first request of a burst.
         */
        @Test
        void reportsDemandImmediatelyAndRepeatedlyWhileRequestsWait() {
            fixture.arrive("r1", "/chat", "cold");
            assertEquals(1, fixture.lastOf(RequestCommand.ReportDemand.class).demand().waiting());
            fixture.arrive("r2", "/chat", "cold");
            fixture.advance(1_000);
            RequestCommand.ReportDemand report = fixture.lastOf(RequestCommand.ReportDemand.class);
            assertEquals(2, report.demand().waiting());
            assertEquals(RequestFixture.COLD, report.demand().artifact());
        }

        /**
         * Guards against refusing a burst of requests, such as those of a class of trainees, while
         * their model is loading again. The refusals occurred when the expected wait was derived
         * from the time of earlier answers.
         */
        @Test
        void admitsBurstWhileUnloadedModelIsLoadedAgain() {
            fixture.setReadyServers(RequestFixture.COLD, RequestFixture.E1);
            for (int index = 0; index < 5; index++) {
                fixture.arrive("before" + index, "/chat", "cold");
                fixture.advance(800);
                fixture.completeAttempt(fixture.lastGeneration().attempt(), 0);
            }
            fixture.setColdStart(ColdStart.LOADING, fixture.now.plusSeconds(3));
            for (int index = 0; index < 60; index++) {
                fixture.arrive("trainee" + index, "/chat", "cold");
            }
            assertTrue(fixture.allOf(RequestCommand.Refuse.class).isEmpty());
        }

        /**
         * Guards against requests that lose their position in the queue when the load of their
         * model fails and is retried.
         */
        @Test
        void keepsArrivalOrderWhenLoadFails() {
            for (int index = 0; index < 3; index++) {
                fixture.arrive("r" + index, "/chat", "cold");
            }
            fixture.setColdStart(ColdStart.LOADING, fixture.now.plusSeconds(1));
            fixture.setColdStart(ColdStart.LOADING, fixture.now.plusSeconds(2));
            fixture.setReadyServers(RequestFixture.COLD, RequestFixture.E1);
            List<String> order =
                    fixture.allOf(RequestCommand.SendGeneration.class).stream()
                            .map(send -> send.request().value())
                            .toList();
            assertEquals(List.of("r0", "r1", "r2"), order);
        }

        /**
         * Guards against callers that wait until their deadline although the load is expected to
         * end after it or cannot take place.
         */
        @Test
        void refusesRequestEarlyWhenLoadEndsAfterDeadline() {
            fixture.setColdStart(ColdStart.LOADING, fixture.now.plusSeconds(5));
            fixture.arrive("r1", "/chat", "cold", Duration.ofSeconds(3), Optional.empty());
            assertEquals(RefusalReason.DEADLINE_TOO_NEAR, fixture.lastRefusal().reason());
            assertEquals(Duration.ofSeconds(5), fixture.lastRefusal().retryAfter().orElseThrow());
            fixture.arrive("r2", "/chat", "cold");
            fixture.setColdStart(ColdStart.UNAVAILABLE, fixture.now.plusSeconds(30));
            assertEquals(RefusalReason.NO_CAPACITY, fixture.lastRefusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
        }

        /**
         * Guards against refusing an expired request only after its deadline, when the caller no
         * longer waits for the answer.
         */
        @Test
        void refusesExpiringRequestBeforeDeadline() {
            fixture.arrive("r1", "/chat", "cold", Duration.ofSeconds(1), Optional.empty());
            fixture.advance(970);
            assertTrue(fixture.allOf(RequestCommand.Refuse.class).isEmpty());
            fixture.advance(25);
            assertEquals(RefusalReason.DEADLINE_EXCEEDED, fixture.lastRefusal().reason());
            assertEquals(Execution.NOT_RUN, fixture.lastRefusal().execution());
        }

        /** Guards against sending a waiting request whose caller has disconnected. */
        @Test
        void discardsWaitingRequestWhenCallerDisconnects() {
            fixture.post(
                    new RequestEvent.CallerDisconnected(fixture.arrive("r1", "/chat", "cold")));
            fixture.setReadyServers(RequestFixture.COLD, RequestFixture.E1);
            assertTrue(fixture.allOf(RequestCommand.SendGeneration.class).isEmpty());
            assertEquals(
                    "r1", fixture.lastOf(RequestCommand.DiscardRequest.class).request().value());
        }
    }

    @Nested
    class Fairness {
        private final RequestFixture fixture =
                new RequestFixture(
                        4,
                        RequestScenario.engineRoute("/chat", true, 1),
                        RequestScenario.engineRoute("/grade", true, 1));

        private void arriveWith(Priority priority, String id) {
            RequestDescription plain =
                    RequestFixture.description("/chat", "cold", Optional.empty(), id);
            fixture.arrive(
                    id,
                    new RequestDescription(
                            "POST",
                            "/chat",
                            plain.artifact(),
                            Map.of(),
                            plain.timeout(),
                            Optional.of(priority),
                            Optional.empty(),
                            plain.bodyHash(),
                            1,
                            0,
                            true));
        }

        /**
         * Guards against a flood of requests on one route that fills the queue and so blocks
         * another route.
         */
        @Test
        void displacesRequestOfFloodedRouteWhenQueueIsFull() {
            for (int index = 0; index < 4; index++) {
                fixture.arrive("flood" + index, "/chat", "cold");
            }
            fixture.arrive("other", "/grade", "cold");
            assertEquals("flood3", fixture.lastRefusal().request().value());
            assertEquals(RefusalReason.QUEUE_FULL, fixture.lastRefusal().reason());
            fixture.arrive("flood4", "/chat", "cold");
            assertEquals("flood4", fixture.lastRefusal().request().value());
        }

        /**
         * Guards against a backlog of batch requests that fills the queue and so blocks interactive
         * requests.
         */
        @Test
        void displacesBatchRequestForInteractiveRequest() {
            for (int index = 0; index < 4; index++) {
                arriveWith(Priority.BATCH, "batch" + index);
            }
            arriveWith(Priority.INTERACTIVE, "question");
            assertEquals("batch3", fixture.lastRefusal().request().value());
            arriveWith(Priority.BATCH, "batch4");
            assertEquals("batch4", fixture.lastRefusal().request().value());
        }

        /**
         * Guards against an early refusal because the expected wait includes requests that are
         * served only after the new one.
         */
        @Test
        void countsOnlyRequestsServedBeforeNewRequest() {
            WaitingQueue queue = new WaitingQueue();
            Route chat = RequestScenario.engineRoute("/chat", true, 1);
            Route grade = RequestScenario.engineRoute("/grade", true, 4);
            for (int index = 0; index < 100; index++) {
                queue.add(WaitingQueueTest.request(index, chat, Priority.BATCH));
            }
            assertEquals(100, queue.countAhead(chat, Priority.BATCH));
            assertEquals(0, queue.countAhead(chat, Priority.INTERACTIVE));
            assertEquals(1, queue.countAhead(grade, Priority.BATCH));
        }
    }

    @Nested
    class Selection {
        private final RequestFixture fixture = new RequestFixture();

        /**
         * Guards against sending requests to a server that is busy with the requests of other
         * instances, which only its report shows.
         */
        @Test
        void selectsServerWithLowestReportedAndOwnLoad() {
            fixture.reportServer(RequestFixture.E1, "i1", 6, 0);
            fixture.reportServer(RequestFixture.E2, "i1", 1, 0);
            fixture.reportServer(RequestFixture.E3, "i1", 4, 0);
            Map<String, Integer> counts = new HashMap<>();
            for (int index = 0; index < 6; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                counts.merge(fixture.lastGeneration().server().value(), 1, Integer::sum);
            }
            assertFalse(counts.containsKey("e1"));
            assertTrue(counts.get("e2") > counts.get("e3"));
        }

        /**
         * Guards against losing the benefit of an engine's prefix cache, because requests are
         * spread evenly regardless of cached prefixes.
         */
        @Test
        void selectsServerWithCachedPrefix() {
            fixture.post(new RequestEvent.PrefixCacheChanged(RequestFixture.E2, 77, true));
            RequestDescription plain = description("/chat", "m", Map.of());
            fixture.arrive(
                    "r1",
                    new RequestDescription(
                            "POST",
                            "/chat",
                            plain.artifact(),
                            Map.of(),
                            plain.timeout(),
                            Optional.empty(),
                            Optional.empty(),
                            plain.bodyHash(),
                            1,
                            77,
                            true));
            assertEquals(RequestFixture.E2, fixture.lastGeneration().server());
        }

        /**
         * Guards against in-flight limits that do not adapt to the capacity of a server: too high a
         * limit overloads the server, and too low a limit leaves it idle.
         */
        @Test
        void lowersLimitOnOverloadAndRaisesItWithAnswers() {
            InFlightLimit limit = new InFlightLimit(8, 64);
            for (int index = 0; index < 8; index++) {
                limit.onAnswer(limit.value());
            }
            assertEquals(16, limit.value());
            limit.onReport(8, 8, Instant.EPOCH.minusSeconds(1));
            assertEquals(8, limit.value());
            limit.onOverload(Instant.EPOCH);
            limit.onOverload(Instant.EPOCH.plusMillis(10));
            assertEquals(5, limit.value());
            limit.onReport(5, 0, Instant.EPOCH.plusMillis(20));
            for (int index = 0; index < 100; index++) {
                limit.onAnswer(limit.value());
            }
            assertTrue(limit.value() > 12, "limit " + limit.value());
        }
    }

    @Nested
    class LeavingServer {
        private final RequestFixture fixture = new RequestFixture();

        /**
         * Guards against new requests to a server that rejected a request because it is leaving,
         * while its delayed reports do not show this yet.
         */
        @Test
        void sendsNothingToServerAfterLeavingRejectionWhenReportsLag() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            fixture.failAttempt(first.attempt(), AttemptFailure.REFUSED_LEAVING);
            fixture.reportServer(first.server(), "i1", 0, 0);
            for (int index = 2; index < 12; index++) {
                assertNotEquals(first.server(), fixture.lastGeneration().server());
                fixture.arrive("r" + index, "/chat", "m");
            }
        }

        /**
         * Guards against new requests to a server that was removed from the instance list, while
         * the decider still names it as ready.
         */
        @Test
        void sendsNothingToServerRemovedFromList() {
            fixture.setServers(RequestSimulation.ENGINES, List.of("e2", "e3"), "");
            fixture.setReadyServers(
                    RequestFixture.MODEL, RequestFixture.E1, RequestFixture.E2, RequestFixture.E3);
            for (int index = 0; index < 10; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                assertNotEquals(RequestFixture.E1, fixture.lastGeneration().server());
            }
        }

        /**
         * Guards against new requests to a server that the instance list shows as leaving, and
         * against breaking off its requests in progress.
         */
        @Test
        void sendsNothingToServerListedAsLeavingAndCompletesItsRequests() {
            fixture.arrive("r1", "/chat", "m");
            RequestCommand.SendGeneration first = fixture.lastGeneration();
            String leaving = first.server().value();
            fixture.setServers(RequestSimulation.ENGINES, List.of("e1", "e2", "e3"), leaving);
            fixture.setReadyServers(RequestFixture.MODEL, RequestFixture.E1, RequestFixture.E2);
            for (int index = 2; index < 12; index++) {
                fixture.arrive("r" + index, "/chat", "m");
                assertNotEquals(first.server(), fixture.lastGeneration().server());
            }
            fixture.receiveToken(first.attempt(), 0);
            fixture.completeAttempt(first.attempt(), 1);
            assertEquals(1, fixture.allOf(RequestCommand.CompleteAnswer.class).size());
        }
    }
}
