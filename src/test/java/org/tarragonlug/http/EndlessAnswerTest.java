package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Calls servers that send bytes without end which are neither a complete head nor a body. Such a
 * server exhausts the memory of the process if its bytes are collected until the call times out.
 */
class EndlessAnswerTest {
    /** Calls at once, as many as one instance may have at a failing server. */
    private static final int CALLS = 32;

    private final LoopbackFixture loopback = new LoopbackFixture();

    @AfterEach
    void close() {
        loopback.close();
    }

    @Nested
    class Framing {
        /**
         * Guards against header lines, trailer lines or interim answers that are collected without
         * limit. Each call must fail long before its timeout, as a failure of the server.
         */
        @ParameterizedTest
        @MethodSource("org.tarragonlug.http.EndlessAnswerTest#framing")
        void endlessFramingEndsTheCallAtOnce(EndlessServer.Kind kind) throws Exception {
            try (EndlessServer server = new EndlessServer(kind)) {
                List<CompletionStage<HttpAnswer>> calls = new ArrayList<>();
                for (int call = 0; call < CALLS; call++) {
                    calls.add(post(server));
                }
                for (CompletionStage<HttpAnswer> call : calls) {
                    HttpFailure failure =
                            assertInstanceOf(HttpFailure.class, LoopbackFixture.awaitFailure(call));
                    assertTrue(
                            Set.of(
                                            HttpFailure.Kind.ANSWER_TOO_LARGE,
                                            HttpFailure.Kind.ANSWER_INVALID)
                                    .contains(failure.kind()),
                            failure.toString());
                }
            }
        }

        private CompletionStage<HttpAnswer> post(EndlessServer server) {
            return EndlessAnswerTest.this.post(loopback.connections, server.address());
        }
    }

    /** The size of one answer is limited, but many calls at once exceed the memory all the same. */
    @Nested
    class Bodies {
        private static final int ANSWER_BYTES = 8 * 1024 * 1024;
        private static final int HELD_BYTES = 2 * 1024 * 1024;

        /** Largest number of bytes that a call receives at a time. */
        private static final int READ_BYTES = 64 * 1024;

        private final HttpConnections connections =
                new HttpConnections(
                        loopback.ioExecutor,
                        loopback.clock.executor(),
                        new HttpLimits(
                                LoopbackFixture.LONG_TIMEOUT,
                                LoopbackFixture.LONG_TIMEOUT,
                                ANSWER_BYTES,
                                HELD_BYTES,
                                Duration.ofMinutes(1)));

        @AfterEach
        void close() {
            connections.close();
        }

        /** Guards against a process that runs out of memory though each call keeps its limit. */
        @ParameterizedTest
        @MethodSource("org.tarragonlug.http.EndlessAnswerTest#bodies")
        void callsTogetherKeepNoMoreThanTheLimit(EndlessServer.Kind kind) throws Exception {
            try (EndlessServer server = new EndlessServer(kind)) {
                List<CompletionStage<HttpAnswer>> calls = new ArrayList<>();
                for (int call = 0; call < CALLS; call++) {
                    calls.add(post(connections, server.address()));
                }
                long mostHeld = 0;
                while (calls.stream().anyMatch(call -> !call.toCompletableFuture().isDone())) {
                    mostHeld = Math.max(mostHeld, connections.heldBytes());
                    Thread.sleep(1);
                }
                for (CompletionStage<HttpAnswer> call : calls) {
                    HttpFailure failure =
                            assertInstanceOf(HttpFailure.class, LoopbackFixture.awaitFailure(call));
                    assertEquals(HttpFailure.Kind.ANSWER_TOO_LARGE, failure.kind());
                }
                assertTrue(mostHeld <= HELD_BYTES + CALLS * READ_BYTES, "held " + mostHeld);
                assertEquals(0, connections.heldBytes());
            }
        }

        /** Guards against good answers that are given up because another server fails. */
        @Test
        void smallAnswersArriveBesideEndlessOnes() throws Exception {
            try (EndlessServer endless = new EndlessServer(EndlessServer.Kind.CHUNKS)) {
                for (int call = 0; call < CALLS; call++) {
                    post(connections, endless.address());
                    try (RawServer good = new RawServer(number -> RawServer.ok("whole"), false)) {
                        HttpAnswer answer =
                                LoopbackFixture.await(post(connections, good.address()));
                        assertEquals("whole", new String(answer.body(), StandardCharsets.UTF_8));
                    }
                }
            }
        }
    }

    static Stream<EndlessServer.Kind> framing() {
        return Stream.of(EndlessServer.Kind.values())
                .filter(kind -> !EndlessServer.Kind.BODIES.contains(kind));
    }

    static Stream<EndlessServer.Kind> bodies() {
        return EndlessServer.Kind.BODIES.stream();
    }

    private CompletionStage<HttpAnswer> post(HttpConnections connections, InetSocketAddress to) {
        HttpCall call =
                new HttpCall(
                        "POST",
                        "/a",
                        Map.of(),
                        new byte[1],
                        LoopbackFixture.LONG_TIMEOUT,
                        ConnectionUse.POOLED);
        return connections.exchange(to, call);
    }
}
