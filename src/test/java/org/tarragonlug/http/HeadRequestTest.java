package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HeadRequestTest {
    // Guards against a late second answer to a HEAD request: it states the length of a body that
    // does not follow, so skipping it would take the next answer with it.
    @Test
    void connectionIsNotUsedAgainAfterAHeadRequest() throws Exception {
        byte[] head =
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        try (LoopbackFixture loopback = new LoopbackFixture();
                // The server reads one request a connection.
                RawServer server = new RawServer(n -> n == 0 ? head : RawServer.ok("x"), false)) {
            HttpCall call =
                    new HttpCall(
                            "HEAD",
                            "/a",
                            Map.of(),
                            new byte[0],
                            LoopbackFixture.LONG_TIMEOUT,
                            ConnectionUse.POOLED);
            LoopbackFixture.await(loopback.connections.exchange(server.address(), call));
            HttpCall next = HttpCall.get("/b", LoopbackFixture.LONG_TIMEOUT, ConnectionUse.POOLED);
            HttpAnswer answer =
                    LoopbackFixture.await(loopback.connections.exchange(server.address(), next));
            assertEquals(200, answer.status());
        }
    }
}
