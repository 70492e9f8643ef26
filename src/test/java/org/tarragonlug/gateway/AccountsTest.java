package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.tarragonlug.standin.PlatformServerStandIn;

/** Client accounts and their keys in front of stand-ins of the platform's store and servers. */
class AccountsTest {
    private static final String BOTH =
            """
            [{"name": "north", "api_keys": ["secret-north"], "priority": 0},
             {"name": "south", "api_keys": ["secret-south"]}]
            """;
    private static final String NORTH =
            """
            [{"name": "north", "api_keys": ["secret-north"], "priority": 0}]
            """;
    private static final List<String> SECRETS =
            List.of("secret-north", "secret-south", "secret-nobody", "secret-public");

    private static final int LOAD = 1200;

    /** Number of requests that are sent together, and the milliseconds until the next ones. */
    private static final int LOAD_STEP = 40;

    /** Time in which an instance reads who holds the leases. */
    private static final long LEASES_KNOWN_MILLIS = 2000;

    /** Time in which an instance finds that it does not reach the store. */
    private static final long CUT_NOTICED_MILLIS = 1500;

    private final GatewayFixture fixture = new GatewayFixture();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> appender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    logLines.add(event.getFormattedMessage());
                }
            };
    private PlatformServerStandIn records;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        appender.start();
        logger().addAppender(appender);
        productLogger().setLevel(Level.INFO);
        records = fixture.startServer("r1", "records");
    }

    @AfterEach
    void close() throws Exception {
        productLogger().setLevel(null);
        logger().detachAppender(appender);
        fixture.close();
    }

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    private static Logger productLogger() {
        return (Logger) LoggerFactory.getLogger("tarragonlug");
    }

    private void startGateway(String name) throws Exception {
        fixture.startGateway(name);
        int gateway = fixture.gateways.size() - 1;
        GatewayFixture.await("ready", () -> fixture.readiness(gateway) == 200);
    }

    private HttpResponse<String> send(int gateway, String path, String... headers)
            throws Exception {
        requestCount++;
        InetSocketAddress address = fixture.gatewaySettings.get(gateway).callerAddress();
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .timeout(Duration.ofSeconds(10))
                        .header("Tarragonlug-Request-Id", "r-" + requestCount)
                        .POST(HttpRequest.BodyPublishers.ofString("body"));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private int status(int gateway, String path, String key) throws Exception {
        return send(gateway, path, "Authorization", "Token " + key).statusCode();
    }

    private String admin(int gateway, String path) throws Exception {
        InetSocketAddress address = fixture.gatewaySettings.get(gateway).adminAddress();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private void assertNoSecretShown() throws Exception {
        for (int gateway = 0; gateway < fixture.gateways.size(); gateway++) {
            String shown = admin(gateway, "/state") + admin(gateway, "/metrics");
            assertTrue(shown.contains("north"), shown);
            SECRETS.forEach(secret -> assertFalse(shown.contains(secret), shown));
        }
        for (String secret : SECRETS) {
            logLines.forEach(line -> assertFalse(line.contains(secret), line));
            records.receivedHeaders()
                    .forEach(each -> assertFalse(each.toString().contains(secret)));
        }
    }

    private Map<String, String> lastHeaders() {
        List<Map<String, String>> all = records.receivedHeaders();
        return all.get(all.size() - 1);
    }

    @Test
    void serversGetTheAccountAndNeverAKey() throws Exception {
        fixture.configureAccounts(1, BOTH);
        startGateway("one");
        HttpResponse<String> answer =
                send(
                        0,
                        "/issue/1",
                        "Authorization",
                        "Token secret-south",
                        "Tarragonlug-Tenant",
                        "north");
        assertEquals(200, answer.statusCode());
        assertEquals("south", lastHeaders().get("tarragonlug-tenant"));
        assertEquals(200, status(0, "/open/1", "secret-public"));
        assertFalse(lastHeaders().containsKey("tarragonlug-tenant"));
        assertFalse(lastHeaders().containsKey("authorization"));
        assertEquals(200, send(0, "/open/1", "Tarragonlug-Tenant", "north").statusCode());
        assertFalse(lastHeaders().containsKey("tarragonlug-tenant"));
        int served = records.receivedHeaders().size();
        assertEquals(401, status(0, "/issue/1", "secret-nobody"));
        assertEquals(401, send(0, "/issue/1").statusCode());
        assertEquals(401, send(0, "/issue/1", "Authorization", "Basic secret-north").statusCode());
        assertEquals(
                401,
                send(
                                0,
                                "/issue/1",
                                "Authorization",
                                "Token secret-north",
                                "Authorization",
                                "Token secret-north")
                        .statusCode());
        assertEquals(404, status(0, "/nowhere/", "secret-nobody"));
        assertEquals(served, records.receivedHeaders().size());
        assertTrue(send(0, "/issue/1").headers().firstValue("www-authenticate").isPresent());
        assertTrue(
                admin(0, "/metrics")
                        .contains(
                                "tarragonlug_keys_refused_total{credential=\"malformed\","
                                        + "reason=\"key_unknown\"} 2"));
        assertNoSecretShown();
    }

    @Test
    void credentialIsPassedOnWithoutAccounts() throws Exception {
        fixture.configure(1, "read");
        startGateway("one");
        HttpResponse<String> answer =
                send(0, "/issue/1", "Authorization", "Token other", "Tarragonlug-Tenant", "north");
        assertEquals(200, answer.statusCode());
        assertEquals("Token other", lastHeaders().get("authorization"));
        assertFalse(lastHeaders().containsKey("tarragonlug-tenant"));
    }

    @Test
    void instanceWithoutConfigurationAsksCallersToReturn() throws Exception {
        fixture.startGateway("one");
        GatewayFixture.await("listens", () -> fixture.readiness(0) == 503);
        HttpResponse<String> answer = send(0, "/issue/1", "Authorization", "Token secret-nobody");
        assertEquals(503, answer.statusCode());
        assertTrue(answer.headers().firstValue("retry-after").isPresent());
    }

    /** Guards against log lines that grow with the requests of callers without keys. */
    @Test
    void refusalsAreCountedAndOnlySomeAreLogged() throws Exception {
        fixture.configureAccounts(1, BOTH);
        startGateway("one");
        for (int count = 0; count < 100; count++) {
            assertEquals(401, send(0, "/issue/1").statusCode());
        }
        long lines = logLines.stream().filter(line -> line.contains("key_refused")).count();
        assertTrue(lines >= 1 && lines <= 20, lines + " lines");
        assertTrue(logLines.stream().noneMatch(line -> line.contains("forward_ended")));
        assertTrue(
                admin(0, "/metrics")
                        .contains(
                                "tarragonlug_keys_refused_total{credential=\"absent\","
                                        + "reason=\"key_unknown\"} 100"));
    }

    /** Guards against a valid key that is answered 401 right after it was written. */
    @Test
    void keyIsValidFromItsWrite() throws Exception {
        fixture.configureAccounts(1, NORTH);
        startGateway("one");
        for (int version = 2; version < 12; version++) {
            String key = "secret-south" + version;
            fixture.configureAccounts(version, BOTH.replace("secret-south", key));
            assertEquals(200, status(0, "/issue/1", key));
            assertEquals(200, status(0, "/issue/1", "secret-north"));
        }
        assertNoSecretShown();
    }

    /** Guards against a removed key that is answered 401 early, or served too long. */
    @Test
    void removedKeyIsRefusedInTime() throws Exception {
        fixture.configureAccounts(1, BOTH);
        startGateway("one");
        assertEquals(200, status(0, "/issue/1", "secret-south"));
        fixture.configureAccounts(2, NORTH);
        long written = System.nanoTime();
        for (long millis = 0; millis < 5000; millis = millisSince(written)) {
            int status = status(0, "/issue/1", "secret-south");
            long after = millisSince(written);
            assertTrue(after >= 3000 || status != 401, status + " after " + after + " ms");
            assertTrue(millis <= 3000 || status != 200, status + " after " + millis + " ms");
            assertTrue(millis <= 4500 || status == 401, status + " after " + millis + " ms");
            Thread.sleep(50);
        }
        assertEquals(200, status(0, "/issue/1", "secret-north"));
    }

    private static long millisSince(long nanos) {
        return Duration.ofNanos(System.nanoTime() - nanos).toMillis();
    }

    /** Guards against an instance that is cut off from the store and refuses a valid key. */
    @Test
    void instanceCutOffFromTheStoreLearnsOfKeysThroughAPeer() throws Exception {
        fixture.configureAccounts(1, NORTH);
        startGateway("one");
        try (StoreRelay relay = new StoreRelay(fixture.store.address())) {
            GatewayFixture.await("a lease is held", () -> leasesOfOne() > 0);
            fixture.storeAddress = relay.address();
            startGateway("two");
            Thread.sleep(LEASES_KNOWN_MILLIS);
            relay.setCut(true);
            Thread.sleep(CUT_NOTICED_MILLIS);
            fixture.configureAccounts(2, BOTH);
            long written = System.nanoTime();
            while (status(1, "/issue/1", "secret-south") == 503 && millisSince(written) < 5000) {
                Thread.sleep(50);
            }
            assertEquals(200, status(1, "/issue/1", "secret-south"));
            assertEquals(401, status(1, "/issue/1", "secret-nobody"));
            assertTrue(
                    logLines.stream().anyMatch(line -> line.contains("store_unreachable")),
                    "the instance was not cut off");
            fixture.configureAccounts(3, NORTH);
            GatewayFixture.await(
                    "the removed key is refused",
                    () -> status(1, "/issue/1", "secret-south") == 401);
            assertEquals(200, status(1, "/issue/1", "secret-north"));
            assertNoSecretShown();
        }
    }

    /**
     * Guards against requests that run for the account of another one when many arrive together,
     * with keys that change meanwhile.
     */
    @Test
    void manyRequestsAtOnceGetTheAnswersOfTheirKeys() throws Exception {
        fixture.configureAccounts(1, BOTH);
        startGateway("one");
        List<String> keys = List.of("secret-north", "secret-south", "secret-nobody");
        Map<String, CompletableFuture<HttpResponse<String>>> answers = new HashMap<>();
        Semaphore connections = new Semaphore(LOAD_STEP);
        for (int count = 0; count < LOAD; count++) {
            String id = keys.get(count % keys.size()) + "-" + count;
            connections.acquire();
            CompletableFuture<HttpResponse<String>> answer =
                    sendAsync("load-" + count, keys.get(count % keys.size()));
            answer.whenComplete((result, failure) -> connections.release());
            answers.put(id, answer);
            if (count % LOAD_STEP == 0) {
                boolean fewer = count / LOAD_STEP % 2 == 1;
                fixture.configureAccounts(2 + count, fewer ? NORTH : BOTH);
                Thread.sleep(LOAD_STEP);
            }
        }
        fixture.configureAccounts(LOAD + 2, BOTH);
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> each : answers.entrySet()) {
            int status = each.getValue().get(20, TimeUnit.SECONDS).statusCode();
            boolean nobody = each.getKey().startsWith("secret-nobody");
            Set<Integer> allowed = nobody ? Set.of(401, 503) : Set.of(200, 503);
            assertTrue(allowed.contains(status), each.getKey() + " " + status);
        }
        for (Map<String, String> headers : records.receivedHeaders()) {
            String id = headers.getOrDefault("tarragonlug-request-id", "");
            if (id.startsWith("load-")) {
                int number = Integer.parseInt(id.substring("load-".length()));
                String account = number % keys.size() == 0 ? "north" : "south";
                assertEquals(account, headers.get("tarragonlug-tenant"));
            }
        }
        assertNoSecretShown();
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(String id, String key) {
        InetSocketAddress address = fixture.gatewaySettings.get(0).callerAddress();
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + address.getPort() + "/read/1"))
                        .header("Tarragonlug-Request-Id", id)
                        .header("Authorization", "Token " + key)
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private long leasesOfOne() {
        return logLines.stream()
                .filter(line -> line.contains("lease_acquired instance=one"))
                .count();
    }

    /** Guards against 401 for a valid key at an instance that cannot ask anyone. */
    @Test
    void instanceThatReachesNobodyAsksCallersOfUnknownKeysToReturn() throws Exception {
        fixture.configureAccounts(1, NORTH);
        try (StoreRelay relay = new StoreRelay(fixture.store.address())) {
            fixture.storeAddress = relay.address();
            startGateway("one");
            relay.setCut(true);
            fixture.configureAccounts(2, BOTH);
            assertEquals(503, status(0, "/issue/1", "secret-south"));
            assertEquals(200, status(0, "/issue/1", "secret-north"));
            assertEquals(401, send(0, "/issue/1").statusCode());
            relay.setCut(false);
            GatewayFixture.await(
                    "the key is known", () -> status(0, "/issue/1", "secret-south") == 200);
        }
    }

    /** Guards against a body that is waited for although its request is refused. */
    @Test
    void refusalComesBeforeTheBody() throws Exception {
        fixture.configureAccounts(1, NORTH);
        startGateway("one");
        InetSocketAddress address = fixture.gatewaySettings.get(0).callerAddress();
        for (String key : List.of("", "Authorization: Token secret-nobody\r\n")) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(3000);
                String head =
                        "POST /issue/1 HTTP/1.1\r\nhost: 127.0.0.1\r\n"
                                + "tarragonlug-request-id: r\r\ncontent-length: 100\r\n"
                                + key
                                + "\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                assertTrue(readLine(socket).startsWith("HTTP/1.1 401"));
            }
        }
    }

    private static String readLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next >= 0 && next != '\n';
                next = socket.getInputStream().read()) {
            line.append((char) next);
        }
        return line.toString();
    }
}
