package org.tarragonlug.instance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.tarragonlug.engine.HttpEngineClient;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.ServerId;

/** Checks how the failures of real connections are classified. */
class FailuresTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /**
     * Guards against a server whose process has ended being treated as slow, and a slow server
     * being treated as lost. Nothing listens on the first address, so the connection is refused;
     * the second server never answers, so the call times out.
     */
    @Test
    void distinguishesRefusedFromSilentConnection() throws Exception {
        try (LoopbackFixture loopback = new LoopbackFixture();
                ServerSocket silent = new ServerSocket(0, 1, LOOPBACK)) {
            HttpEngineClient client =
                    new HttpEngineClient(
                            loopback.shortTimeoutConnections,
                            LoopbackFixture.LONG_TIMEOUT,
                            LoopbackFixture.LONG_TIMEOUT,
                            Instant::now);
            ServerSocket closed = new ServerSocket(0, 1, LOOPBACK);
            closed.close();
            assertTrue(Failures.isConnectionRefused(reportFailure(client, closed)));
            assertFalse(Failures.isConnectionRefused(reportFailure(client, silent)));
        }
    }

    private static Throwable reportFailure(HttpEngineClient client, ServerSocket socket) {
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, socket.getLocalPort());
        return LoopbackFixture.awaitFailure(client.report(new ServerId("s"), address));
    }
}
