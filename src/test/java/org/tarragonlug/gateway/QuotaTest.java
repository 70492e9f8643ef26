package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.PlatformServerStandIn;

/** Quotas of accounts over two complete gateways, over loopback. */
class QuotaTest {
    private static final Duration WINDOW = Duration.ofSeconds(2);
    private static final int RATE = 20;
    private static final int BURST = 20;
    private static final double OVERAGE = 0.1;
    private static final int SLACK = 40;
    private static final double LIMIT = (RATE * WINDOW.toSeconds() + BURST) * (1 + OVERAGE) + SLACK;

    private final GatewayFixture fixture = new GatewayFixture();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Long> admittedAt = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void start() throws Exception {
        fixture.quotaTolerance = Optional.of(new QuotaTolerance(WINDOW, OVERAGE, SLACK));
        ObjectNode configuration =
                (ObjectNode)
                        Json.read(
                                GatewayFixture.CONFIGURATION
                                        .formatted(1, "read")
                                        .getBytes(StandardCharsets.UTF_8));
        ArrayNode accounts = configuration.putArray("tenants");
        addAccount(accounts, "press", "key-1", RATE);
        addAccount(accounts, "radio", "key-2", 0);
        fixture.store.put("config", "main", configuration);
        fixture.startGateway("one");
        fixture.startGateway("two");
        for (int gateway = 0; gateway < 2; gateway++) {
            int each = gateway;
            GatewayFixture.await("ready", () -> fixture.readiness(each) == 200);
            GatewayFixture.await("allowance", () -> send(each, "key-1").statusCode() == 200);
        }
    }

    private static void addAccount(ArrayNode accounts, String name, String key, int rate) {
        ObjectNode account = accounts.addObject();
        account.put("name", name);
        account.putArray("api_keys").add(key);
        account.put("rate_per_s", rate);
        account.put("burst", BURST);
    }

    private HttpResponse<String> send(int gateway, String key) throws Exception {
        requests++;
        long sentAt = System.nanoTime();
        int port = fixture.gatewaySettings.get(gateway).callerAddress().getPort();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/issue/1"))
                        .timeout(Duration.ofSeconds(15))
                        .header("Tarragonlug-Request-Id", "quota-" + requests)
                        .header("Tarragonlug-Deadline-Ms", "9000")
                        .header("Authorization", "Token " + key)
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (key.equals("key-1") && answer.statusCode() == 200) {
            admittedAt.add(sentAt);
        }
        return answer;
    }

    private int mostInOneWindow() {
        int most = 0;
        int first = 0;
        for (int last = 0; last < admittedAt.size(); last++) {
            while (admittedAt.get(last) - admittedAt.get(first) > WINDOW.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /**
     * Guards against gateways that each give the whole quota, against refusals without the time at
     * which there is room, and against an account that stays refused, or another one that suffers.
     */
    @Test
    void holdsOverBothGateways() throws Exception {
        PlatformServerStandIn server = fixture.startServer("r1", "records");
        start();
        int refused = 0;
        long end = System.nanoTime() + Duration.ofSeconds(6).toNanos();
        for (int round = 0; System.nanoTime() < end; round++) {
            HttpResponse<String> answer = send(round % 2, "key-1");
            if (answer.statusCode() == 429) {
                refused++;
                String retryAfter = answer.headers().firstValue("retry-after").orElseThrow();
                assertTrue(Double.parseDouble(retryAfter) > 0, retryAfter);
            } else {
                assertEquals(200, answer.statusCode());
            }
        }
        assertTrue(refused > 0);
        assertTrue(mostInOneWindow() <= LIMIT, mostInOneWindow() + " of " + LIMIT);
        // Over the whole time the two gateways together give about the rate, not less.
        assertTrue(admittedAt.size() > 4 * RATE, admittedAt.size() + " admitted");
        assertEquals(200, send(0, "key-2").statusCode());
        assertEquals(admittedAt.size() + 1, server.runsByRequestId().size());
        GatewayFixture.await("room", () -> send(1, "key-1").statusCode() == 200);
    }
}
