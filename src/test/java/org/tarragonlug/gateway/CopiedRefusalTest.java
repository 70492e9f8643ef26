package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.ScriptedServer.answer;
import static org.tarragonlug.gateway.ScriptedServer.success;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.runtime.Json;

/**
 * Servers that send a refusal once more, late, when the refused request is under way again on the
 * same connection.
 */
class CopiedRefusalTest {
    private static final int SERVICES = 16;
    private static final int REQUESTS_FOR_SERVICE = 8;
    private static final int MISDIRECTED = 421;
    private static final int NOT_RUN = 503;
    private static final int LOST = 502;
    private static final String SEAL = "tarragonlug-response-seal";

    private final GatewayFixture fixture = new GatewayFixture();

    /** Ids of requests that a server began to run, once for each run. */
    private final Collection<String> begun = new ConcurrentLinkedQueue<>();

    private final AtomicInteger copies = new AtomicInteger();

    /** Whether a server of each service has started again, under a new id at its old address. */
    private volatile boolean restarted;

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private String currentId(int service) {
        return (restarted ? "new-" : "old-") + service;
    }

    /**
     * Answers as a server that may have started again. What expects another id is refused, and the
     * refusal is sent once more after a delay.
     */
    private ScriptedServer.Script refusingOldIds(int service, long copyDelayMillis) {
        return (request, number, onConnection) -> {
            if (request.expectedServer().equals(currentId(service))) {
                return run(request);
            }
            copies.incrementAndGet();
            String instance = "tarragonlug-instance-id: " + currentId(service) + "\r\n";
            String refusal = answer(MISDIRECTED, request.id(), instance, "");
            return new ScriptedServer.Answer(
                    refusal,
                    ScriptedServer.End.KEEP,
                    null,
                    List.of(new ScriptedServer.Later(copyDelayMillis, refusal)));
        };
    }

    private ScriptedServer startServer(String id, int service, ScriptedServer.Script script) {
        return fixture.startScripted(id, serviceName(service), List.of(), script);
    }

    private ScriptedServer.Answer run(ScriptedServer.Request request) {
        begun.add(request.id());
        return new ScriptedServer.Answer(success(request.id(), "done"), ScriptedServer.End.KEEP);
    }

    /** Writes a configuration with a route to each service, whose requests must run once. */
    private void configure() {
        ObjectNode configuration = Json.object();
        configuration.put("version", 1);
        ArrayNode routes = configuration.putArray("routes");
        ArrayNode services = configuration.putArray("services");
        for (int service = 0; service < SERVICES; service++) {
            routes.addObject()
                    .put("name", "route-" + service)
                    .put("host", "127.0.0.1")
                    .put("path_prefix", path(service))
                    .put("kind", "non_idempotent")
                    .put("timeout_ms", 3000)
                    .put("target_latency_ms", 100)
                    .put("priority", 0)
                    .put("service", serviceName(service))
                    .put("max_attempts", 1);
            services.addObject().put("name", serviceName(service)).put("max_conns", 50);
        }
        configuration.putObject("limits").put("max_body_bytes", 4096);
        fixture.store.put("config", "main", configuration);
    }

    private static String path(int service) {
        return "/" + serviceName(service) + "/";
    }

    private static String serviceName(int service) {
        return "service-" + service;
    }

    /** Sends requests that must run once, and returns those that were answered as not run. */
    private Set<String> sendToAllServices() throws Exception {
        Set<String> refused = new HashSet<>();
        for (int number = 0; number < SERVICES * REQUESTS_FOR_SERVICE; number++) {
            if (fixture.send(0, path(number % SERVICES), "", "x").statusCode() == NOT_RUN) {
                refused.add(fixture.lastRequestId());
            }
        }
        return refused;
    }

    // Guards against a request that runs at a second server, or is refused as not run although it
    // runs, because the copy of a refusal for its first send is taken for the answer to its second
    // send: the server has a new id, so the second send seemed to go elsewhere.
    @ParameterizedTest
    @ValueSource(longs = {3, 30, 100})
    void requestRefusedUnderAnOldIdOfItsServerRunsOnce(long copyDelayMillis) throws Exception {
        List<ScriptedServer> restarting = new ArrayList<>();
        for (int service = 0; service < SERVICES; service++) {
            ScriptedServer.Script script = refusingOldIds(service, copyDelayMillis);
            restarting.add(startServer(currentId(service), service, script));
            startServer("other-" + service, service, (request, number, place) -> run(request));
        }
        configure();
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        Set<String> refused = sendToAllServices();
        restarted = true;
        for (int service = 0; service < SERVICES; service++) {
            restarting.get(service).list(currentId(service), serviceName(service), List.of());
        }
        refused.addAll(sendToAllServices());
        assertTrue(copies.get() >= SERVICES / 2, "too few refusals were copied: " + copies);
        Set<String> runTwice = new HashSet<>(begun);
        refused.retainAll(runTwice);
        runTwice.removeIf(id -> Collections.frequency(begun, id) == 1);
        assertEquals(Set.of(), runTwice, "run twice; copied refusals: " + copies);
        assertEquals(Set.of(), refused, "run, but refused as not run; copied refusals: " + copies);
    }

    // Guards against a request that begins to run and is answered as not run, because no server is
    // left when the copy of a refusal is taken for the answer to its second send.
    @ParameterizedTest
    @ValueSource(longs = {3, 30})
    void requestThatBeganIsNotRefusedWhenAllOtherServersAreFull(long copyDelayMillis)
            throws Exception {
        List<ScriptedServer> restarting = new ArrayList<>();
        for (int service = 0; service < SERVICES; service++) {
            ScriptedServer.Script script = refusingOldIds(service, copyDelayMillis);
            restarting.add(startServer(currentId(service), service, script));
            for (String full : List.of("full-a-", "full-b-")) {
                startServer(full + service, service, CopiedRefusalTest::refuseAsFull);
            }
        }
        configure();
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        Set<String> refused = sendToAllServices();
        restarted = true;
        for (int service = 0; service < SERVICES; service++) {
            restarting.get(service).list(currentId(service), serviceName(service), List.of());
        }
        refused.addAll(sendToAllServices());
        assertTrue(copies.get() >= SERVICES / 2, "too few refusals were copied: " + copies);
        refused.retainAll(new HashSet<>(begun));
        assertEquals(Set.of(), refused, "run, but refused as not run; copied refusals: " + copies);
    }

    private static ScriptedServer.Answer refuseAsFull(
            ScriptedServer.Request request, int number, int place) {
        return new ScriptedServer.Answer(
                ScriptedServer.refusal(request.id()), ScriptedServer.End.KEEP);
    }

    // Guards against a request that has run and is answered as not run, because a server's own
    // status without the statement of a refusal is passed on, with the server's seal or without;
    // against a seal under another status; and against the loss of the server's connection.
    @ParameterizedTest
    @CsvSource({"408, ''", "429, ''", "503, ''", "408, s", "429, s", "503, s"})
    void statusThatPromisesNothingIsNotPassedOnAsAPromise(int status, String seal)
            throws Exception {
        String headers = seal.isEmpty() ? "" : SEAL + ": " + seal + "\r\n";
        List<Integer> places = new CopyOnWriteArrayList<>();
        startServer(
                "unmarked",
                0,
                (request, number, place) -> {
                    begun.add(request.id());
                    places.add(place);
                    return new ScriptedServer.Answer(
                            answer(status, request.id(), headers, ""), ScriptedServer.End.KEEP);
                });
        configure();
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        for (int number = 0; number < 2; number++) {
            HttpResponse<String> seen = fixture.send(0, path(0), "", "x");
            assertEquals(1, Collections.frequency(begun, fixture.lastRequestId()));
            assertEquals(LOST, seen.statusCode());
            assertEquals(Optional.empty(), seen.headers().firstValue(SEAL));
        }
        assertEquals(places.get(0) + 1, places.get(1), "the connection was not kept");
    }
}
