package org.tarragonlug.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.runtime.Settings;

/**
 * Tests the HTTP server for callers with real sockets: answers, refusals of invalid, slow or
 * oversized requests, and disconnected callers. A request that hangs fails at the timeout.
 */
@Timeout(30)
class CallerServerTest {
    private static final int CONNECTIONS = 20;
    private static final Settings.Limits LIMITS =
            new Settings.Limits(
                    2048, 1024, Duration.ofMillis(300), CONNECTIONS, Duration.ofSeconds(1));
    private static final String BODY = "{\"model\":\"tutor\",\"prompt\":\"hello\"}";
    private static final String STREAM_BODY =
            "{\"model\":\"tutor\",\"prompt\":\"hello\",\"stream\":true}";

    private final BlockingQueue<CallerRequest> receivedRequests = new LinkedBlockingQueue<>();
    private final BlockingQueue<CallerAnswer> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<CallerRequest> disconnected = new LinkedBlockingQueue<>();
    private final BlockingQueue<ErrorCode> refusals = new LinkedBlockingQueue<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private IoExecutor ioExecutor;
    private CallerServer server;

    @BeforeEach
    void start() throws Exception {
        ioExecutor = IoThreads.create(1);
        CallerListener listener =
                new CallerListener() {
                    @Override
                    public void onRequest(CallerRequest request, CallerAnswer answer) {
                        receivedRequests.add(request);
                        answers.add(answer);
                    }

                    @Override
                    public void onRefused(ErrorCode code) {
                        refusals.add(code);
                    }

                    @Override
                    public void onCallerDisconnected(CallerRequest request) {
                        disconnected.add(request);
                    }
                };
        server =
                new CallerServer(
                        new InetSocketAddress("127.0.0.1", 0), LIMITS, ioExecutor, listener, "t");
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
        ioExecutor.closeAsync().toFuture().get();
    }

    private CompletableFuture<HttpResponse<String>> post(String path, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + server.listenAddress().getPort()
                                                + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private CallerAnswer nextAnswer() throws InterruptedException {
        return answers.poll(5, TimeUnit.SECONDS);
    }

    private String exchange(byte[] bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.listenAddress().getPort())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(bytes);
            return readSome(socket.getInputStream());
        }
    }

    private static String readSome(InputStream input) throws IOException {
        byte[] buffer = new byte[8192];
        int length = input.read(buffer);
        return length < 0 ? "" : new String(buffer, 0, length, StandardCharsets.UTF_8);
    }

    @Nested
    class Answers {
        @Test
        void completeAnswerHasAllTokensInOrder() throws Exception {
            CompletableFuture<HttpResponse<String>> response = post("/v1/completions", BODY);
            CallerAnswer answer = nextAnswer();
            answer.addToken("one ");
            answer.addToken("two");
            answer.complete(2, "abc");
            assertEquals(200, response.get().statusCode());
            assertTrue(response.get().body().contains("\"text\":\"one two\""));
            assertTrue(response.get().body().contains("\"checksum\":\"abc\""));
        }

        @Test
        void streamedAnswerEndsWithDone() throws Exception {
            CompletableFuture<HttpResponse<String>> response =
                    post("/v1/chat/completions", STREAM_BODY);
            CallerAnswer answer = nextAnswer();
            answer.addToken("a \"quoted\"\n");
            answer.complete(1, "abc");
            String body = response.get().body();
            assertTrue(body.contains("\"delta\":{\"content\":\"a \\\"quoted\\\"\\n\"}"), body);
            assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        }

        @Test
        void refusalStatesExecutionAndRetryTime() throws Exception {
            CompletableFuture<HttpResponse<String>> response = post("/v1/completions", BODY);
            nextAnswer()
                    .refuse(
                            ErrorCode.QUEUE_FULL,
                            Execution.NOT_RUN,
                            Optional.of(Duration.ofMillis(1200)),
                            "64 waiting");
            assertEquals(429, response.get().statusCode());
            assertEquals("2", response.get().headers().firstValue("retry-after").orElseThrow());
            assertTrue(response.get().body().contains("\"execution\":\"not_run\""));
        }

        @Test
        void errorAfterFirstTokenIsLastEventOfStream() throws Exception {
            CompletableFuture<HttpResponse<String>> response = post("/v1/completions", STREAM_BODY);
            CallerAnswer answer = nextAnswer();
            answer.addToken("one");
            answer.refuse(
                    ErrorCode.BACKEND_FAILED, Execution.MAY_HAVE_RUN, Optional.empty(), "lost");
            String body = response.get().body();
            assertTrue(body.contains("\"code\":\"backend_failed\""), body);
            assertFalse(body.contains("[DONE]"), body);
        }

        @Test
        void callsAfterEndOfAnswerHaveNoEffect() throws Exception {
            CompletableFuture<HttpResponse<String>> response = post("/v1/completions", BODY);
            CallerAnswer answer = nextAnswer();
            answer.complete(0, "abc");
            answer.addToken("late");
            answer.refuse(ErrorCode.INTERNAL, Execution.RAN, Optional.empty(), "late");
            assertEquals(200, response.get().statusCode());
        }
    }

    @Nested
    class BadInput {
        @Test
        void malformedJsonIsRefused() throws Exception {
            HttpResponse<String> response = post("/v1/completions", "{\"model\":").get();
            assertEquals(400, response.statusCode());
            assertTrue(response.body().contains("bad_request"));
        }

        @Test
        void refusalOfWrongTypeNamesItsJsonPath() throws Exception {
            String body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"many\"}";
            HttpResponse<String> response = post("/v1/completions", body).get();
            assertEquals(400, response.statusCode());
            assertTrue(response.body().contains("$.max_tokens"));
        }

        @Test
        void largeBodyIsRefused() throws Exception {
            HttpResponse<String> response = post("/v1/completions", "x".repeat(100_000)).get();
            assertEquals(413, response.statusCode());
        }

        @Test
        void incompleteBodyIsRefusedAtTimeLimit() throws Exception {
            String start =
                    "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
            assertTrue(exchange(start.getBytes(StandardCharsets.UTF_8)).contains(" 408 "));
        }

        /**
         * Guards against a slow sender that keeps its connection after the refusal: the library
         * waits for the rest of the request, so the server must close the connection itself.
         */
        @Test
        void connectionIsClosedAfterRefusalOfIncompleteBody() throws Exception {
            String start =
                    "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
            try (Socket socket = new Socket("127.0.0.1", server.listenAddress().getPort())) {
                socket.setSoTimeout(20_000);
                socket.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
                InputStream input = socket.getInputStream();
                StringBuilder answer = new StringBuilder();
                try {
                    for (String part = readSome(input); !part.isEmpty(); part = readSome(input)) {
                        answer.append(part);
                    }
                } catch (SocketException reset) {
                    // The server never reads the rest of the body, so its close may arrive as a
                    // reset.
                }
                assertTrue(answer.toString().contains(" 408 "));
                assertEquals(ErrorCode.REQUEST_TIMEOUT, refusals.poll());
            }
        }

        @Test
        void oversizedHeaderIsRefused() throws Exception {
            String request =
                    "GET /v1/models HTTP/1.1\r\nhost: x\r\nlong: " + "x".repeat(5000) + "\r\n\r\n";
            String answer = exchange(request.getBytes(StandardCharsets.UTF_8));
            assertTrue(answer.contains(" 431 "), answer);
        }

        @Test
        void contradictoryContentLengthsAreRefused() throws Exception {
            String request =
                    "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"
                            + "content-length: 7\r\n\r\n{\"a\":1}";
            String answer = exchange(request.getBytes(StandardCharsets.UTF_8));
            assertTrue(answer.contains(" 400 "), answer);
            assertTrue(receivedRequests.isEmpty());
        }

        @Test
        void mutatedRequestsNeitherHangNorStopTheServer() throws Exception {
            byte[] valid =
                    ("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: "
                                    + BODY.length()
                                    + "\r\n\r\n"
                                    + BODY)
                            .getBytes(StandardCharsets.UTF_8);
            Random random = new Random(7);
            for (int round = 0; round < 200; round++) {
                byte[] mutated = valid.clone();
                for (int change = 0; change < 1 + random.nextInt(4); change++) {
                    mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
                }
                try (Socket socket = new Socket("127.0.0.1", server.listenAddress().getPort())) {
                    socket.getOutputStream().write(mutated);
                }
            }
            // Each closed connection counts towards the limit until the server has noticed the
            // close.
            assertEquals(400, statusWithinSeconds(5));
        }

        private int statusWithinSeconds(int seconds) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < end) {
                try {
                    return post("/v1/completions", "[").get().statusCode();
                } catch (ExecutionException refused) {
                    Thread.sleep(50);
                }
            }
            return -1;
        }
    }

    @Nested
    class Connections {
        @Test
        void disconnectOfCallerIsReportedToListener() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", server.listenAddress().getPort())) {
                String request =
                        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: "
                                + BODY.length()
                                + "\r\n\r\n"
                                + BODY;
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                assertTrue(nextAnswer() != null);
            }
            assertTrue(disconnected.poll(5, TimeUnit.SECONDS) != null);
            assertEquals(0, server.inProgress());
        }

        @Test
        void connectionsAboveTheLimitAreClosed() throws Exception {
            Socket[] sockets = new Socket[CONNECTIONS];
            for (int index = 0; index < CONNECTIONS; index++) {
                sockets[index] = new Socket("127.0.0.1", server.listenAddress().getPort());
            }
            Thread.sleep(100);
            try (Socket extra = new Socket("127.0.0.1", server.listenAddress().getPort())) {
                extra.setSoTimeout(20_000);
                assertEquals(-1, extra.getInputStream().read());
            } finally {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }

        // Guards against connections that are counted in another order than that in which they
        // came: the last one is then accepted, and a caller who was there before is cut off.
        @RepeatedTest(30)
        void connectionsCountInTheOrderInWhichTheyCome() throws Exception {
            List<Socket> sockets = new ArrayList<>();
            for (int index = 0; index <= CONNECTIONS; index++) {
                sockets.add(new Socket("127.0.0.1", server.listenAddress().getPort()));
            }
            Socket last = sockets.get(CONNECTIONS);
            last.setSoTimeout(5000);
            assertEquals(-1, last.getInputStream().read());
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        @Test
        void gracefulStopLetsAnswersFinish() throws Exception {
            CompletableFuture<HttpResponse<String>> response = post("/v1/completions", STREAM_BODY);
            CallerAnswer answer = nextAnswer();
            answer.addToken("one");
            server.stopGracefully();
            Thread.sleep(200);
            answer.addToken("two");
            answer.complete(2, "abc");
            assertTrue(response.get().body().endsWith("data: [DONE]\n\n"));
        }
    }

    // Guards against a failure of this process that the HTTP library answers with 503, which
    // callers
    // take for the promise "not run", or after which the caller waits in vain.
    @Test
    void failureOfTheProcessIsNoPromise() throws Exception {
        CallerListener failing =
                new CallerListener() {
                    @Override
                    public void onRequest(CallerRequest request, CallerAnswer answer) {
                        throw new RejectedExecutionException("the event loop is closed");
                    }

                    @Override
                    public void onRefused(ErrorCode code) {}

                    @Override
                    public void onCallerDisconnected(CallerRequest request) {}
                };
        CallerServer closing =
                new CallerServer(
                        new InetSocketAddress("127.0.0.1", 0), LIMITS, ioExecutor, failing, "c");
        closing.start();
        try {
            URI uri = URI.create("http:/" + closing.listenAddress() + "/v1/completions");
            HttpRequest request =
                    HttpRequest.newBuilder(uri)
                            .POST(HttpRequest.BodyPublishers.ofString(BODY))
                            .timeout(Duration.ofSeconds(5))
                            .build();
            int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
            assertEquals(500, status);
        } catch (IOException closed) {
            // A closed connection promises nothing; a request that hangs is a timeout.
            assertFalse(closed instanceof HttpTimeoutException, closed::toString);
        } finally {
            closing.stop();
        }
    }
}
