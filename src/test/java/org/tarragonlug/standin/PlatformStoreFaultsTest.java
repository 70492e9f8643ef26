package org.tarragonlug.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.platform.PlatformKinds;

/** Guards against faults of the store that a soak plays without their having any effect. */
@Timeout(30)
class PlatformStoreFaultsTest {
    private static final String PATH = "/tarragonlug/objects/" + PlatformKinds.SERVERS;
    private static final long SHORT_MILLIS = 300;

    private final IoExecutor ioExecutor = IoThreads.create(1);
    private final PlatformStoreStandIn store = new PlatformStoreStandIn(ioExecutor);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @AfterEach
    void close() {
        store.close();
        ioExecutor.closeAsync().subscribe();
    }

    private CompletableFuture<Integer> get() {
        URI uri = URI.create("http://127.0.0.1:" + store.address().getPort() + PATH);
        HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpResponse::statusCode);
    }

    // Guards against a standstill that loses the calls which it has received, or answers them.
    @Test
    void callsOfStandstillAreAnsweredAfterIt() throws Exception {
        store.setStandingStill(true);
        CompletableFuture<Integer> status = get();
        Thread.sleep(SHORT_MILLIS);
        assertFalse(status.isDone());
        assertEquals(0, store.callCount());
        store.setStandingStill(false);
        assertEquals(200, status.get());
    }

    // Guards against delayed answers that come at once, and against a delay that does not end.
    @Test
    void delayConcernsAnswersUntilItEnds() throws Exception {
        store.delayAnswers(Duration.ofMillis(SHORT_MILLIS));
        long begin = System.nanoTime();
        assertEquals(200, get().get());
        assertTrue(System.nanoTime() - begin >= TimeUnit.MILLISECONDS.toNanos(SHORT_MILLIS));
        store.delayAnswers(Duration.ofHours(1));
        store.delayAnswers(Duration.ZERO);
        assertEquals(200, get().get());
    }

    // Guards against a cut watch that looks like an answer. The HTTP client is not used, since it
    // sends a request again whose connection was closed.
    @Test
    void cutWatchEndsWithoutAnswer() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", store.address().getPort())) {
            String head =
                    "GET " + PATH + "?watch=1000&wait_ms=20000 HTTP/1.1\r\nhost: store\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            while (store.callCount() == 0) {
                Thread.sleep(1);
            }
            store.cutWatches();
            assertEquals(0, socket.getInputStream().readAllBytes().length);
        }
    }
}
