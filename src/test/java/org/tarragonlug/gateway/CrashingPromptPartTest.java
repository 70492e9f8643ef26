package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.standin.PlatformServerStandIn;

/**
 * Sends requests with a prompt part that crashes servers through complete gateways, among others
 * that share the caller's part and the first part with them.
 */
class CrashingPromptPartTest {
    private static final int GATEWAYS = 3;
    private static final int SERVERS = 8;
    private static final String MODEL = "m1";
    private static final String CRASHING_PART = "feed";
    private static final String SHARED_PARTS = "aaaa:90,bbbb:40,";

    /** Time from a server's crash to its next start. */
    private static final Duration DOWN_TIME = Duration.ofSeconds(2);

    private static final Duration LOAD_TIME = Duration.ofSeconds(15);
    private static final Duration REQUEST_PAUSE = Duration.ofMillis(40);

    /** Each of so many requests has the crashing part. */
    private static final int CRASHING_PERIOD = 8;

    /** Number of crashes after which requests with the part must no longer reach servers. */
    private static final int TOLERATED_CRASHES = 5;

    /** Time after the last tolerated crash in which the news may spread. */
    private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

    private static final int TOLERATED_ARRIVALS = 3;

    /** A sound request that was sent. */
    private record SoundRequest(long sentNanos, CompletableFuture<HttpResponse<String>> answer) {
        boolean isServed() {
            return !answer.isCompletedExceptionally() && answer.join().statusCode() == 200;
        }
    }

    private final GatewayFixture fixture = new GatewayFixture();
    private final List<PlatformServerStandIn> servers = new ArrayList<>();
    private final List<SoundRequest> soundRequests = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    // Guards against servers that crash one after the other, because no instance knows which prompt
    // part the requests at the lost servers had in common, and against refusals of sound requests
    // that share other parts with them.
    @Test
    void requestsWithPartThatCrashedFiveServersNoLongerReachServersAndOthersAreServed()
            throws Exception {
        start();
        sendLoad();
        long lastTolerated = lastToleratedCrash();
        long arrivals = crashingArrivalsAfter(lastTolerated + STABLE_WINDOW.toNanos());
        assertTrue(
                arrivals <= TOLERATED_ARRIVALS,
                arrivals + " arrivals; " + crashes().size() + " crashes");
        long calm = lastTolerated + STABLE_WINDOW.multipliedBy(2).toNanos();
        long sent = soundRequests.stream().filter(each -> each.sentNanos > calm).count();
        long served =
                soundRequests.stream()
                        .filter(each -> each.sentNanos > calm && each.isServed())
                        .count();
        assertTrue(sent >= 20, sent + " sound requests were sent in time");
        assertTrue(2 * served >= sent, served + " of " + sent + " sound requests were served");
    }

    private void start() throws Exception {
        fixture.configure(1, "read");
        for (int number = 1; number <= SERVERS; number++) {
            PlatformServerStandIn server = fixture.startServer("e" + number, "engines", MODEL);
            server.crashOnPromptPart(CRASHING_PART, DOWN_TIME);
            servers.add(server);
        }
        for (int number = 0; number < GATEWAYS; number++) {
            int gateway = number;
            fixture.startGateway("gateway-" + gateway);
            GatewayFixture.await("ready", () -> fixture.readiness(gateway) == 200);
        }
    }

    private void sendLoad() throws Exception {
        long end = System.nanoTime() + LOAD_TIME.toNanos();
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = "load-" + number;
            if (number % CRASHING_PERIOD == 0) {
                String parts = SHARED_PARTS + CRASHING_PART + ":20," + number + ":100";
                fixture.sendPrompt(number / CRASHING_PERIOD % GATEWAYS, "/ask/1", id, MODEL, parts);
            } else {
                String parts = SHARED_PARTS + number + ":100";
                soundRequests.add(
                        new SoundRequest(
                                System.nanoTime(),
                                fixture.sendPrompt(number % GATEWAYS, "/ask/1", id, MODEL, parts)));
            }
            Thread.sleep(REQUEST_PAUSE.toMillis());
        }
        CompletableFuture<?>[] answers =
                soundRequests.stream().map(SoundRequest::answer).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(answers).exceptionally(failure -> null).join();
    }

    private List<Long> crashes() {
        return servers.stream().flatMap(each -> each.crashNanos().stream()).sorted().toList();
    }

    /** Returns the time of the last crash that is tolerated, or of the last one if fewer came. */
    private long lastToleratedCrash() {
        List<Long> crashes = crashes();
        assertTrue(!crashes.isEmpty(), "the crashing part has not reached a server");
        return crashes.get(Math.min(TOLERATED_CRASHES, crashes.size()) - 1);
    }

    private long crashingArrivalsAfter(long nanos) {
        return servers.stream()
                .flatMap(each -> each.arrivals().stream())
                .filter(each -> each.nanos() > nanos && isCrashing(each.requestId()))
                .count();
    }

    private static boolean isCrashing(String requestId) {
        return Integer.parseInt(requestId.substring("load-".length())) % CRASHING_PERIOD == 0;
    }
}
