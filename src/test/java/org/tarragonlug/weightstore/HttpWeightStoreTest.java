package org.tarragonlug.weightstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.standin.WeightStoreStandIn;

class HttpWeightStoreTest {
    private final LoopbackFixture loopback = new LoopbackFixture();
    private final List<Checkpoint> checkpoints =
            List.of(new Checkpoint(new ArtifactId("m", "2"), 5), checkpoint("n", 6));
    private final WeightStoreStandIn standIn =
            new WeightStoreStandIn(loopback.ioExecutor, loopback.clock, checkpoints);
    private final WeightStore store = new HttpWeightStore(loopback.connections, standIn.address());

    private static Checkpoint checkpoint(String name, long bytes) {
        return new Checkpoint(new ArtifactId(name, "1"), bytes);
    }

    @AfterEach
    void close() throws Exception {
        standIn.close();
        loopback.close();
    }

    /** Guards against fields that are not read and against a slow store that is not reported. */
    @Test
    void checkpointsAndLoadAreRead() throws Exception {
        assertEquals(checkpoints, LoopbackFixture.await(store.checkpoints()));
        assertEquals(new WeightStoreLoad(0, 0, false), LoopbackFixture.await(store.load()));
        standIn.setSlowness(5);
        assertTrue(LoopbackFixture.await(store.load()).slow());
    }

    /**
     * Guards against an untyped exception when the store cannot be reached, sends a malformed
     * answer or does not answer.
     */
    @Test
    void refusedMalformedAndSilentAnswersGiveTypedError() {
        standIn.close();
        assertEquals(
                ErrorCode.WEIGHT_STORE_UNAVAILABLE, LoopbackFixture.awaitErrorCode(store.load()));
        try (RawServer server =
                new RawServer(n -> n == 0 ? RawServer.ok("{\"slow\":1}") : null, false)) {
            WeightStore broken =
                    new HttpWeightStore(loopback.shortTimeoutConnections, server.address());
            assertEquals(
                    ErrorCode.WEIGHT_STORE_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(broken.load()));
            assertEquals(
                    ErrorCode.WEIGHT_STORE_UNAVAILABLE,
                    LoopbackFixture.awaitErrorCode(broken.checkpoints()));
        }
    }
}
