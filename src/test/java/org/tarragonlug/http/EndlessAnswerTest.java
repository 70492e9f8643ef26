package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Calls servers that send bytes without end which are neither a complete head nor a body. Such a
 * server exhausts the memory of the process if its bytes are collected until the call times out.
 */
class EndlessAnswerTest {
    /** Calls at once, as many as one instance may have at a server in trouble. */
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
        @EnumSource
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
            Duration timeout = LoopbackFixture.LONG_TIMEOUT;
            HttpCall call =
                    new HttpCall(
                            "POST", "/a", Map.of(), new byte[1], timeout, ConnectionUse.POOLED);
            return loopback.connections.exchange(server.address(), call);
        }
    }
}
