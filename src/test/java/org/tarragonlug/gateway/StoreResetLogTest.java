package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.trial.GatewayChild;

/** What a gateway in a process of its own logs while the store resets its connections. */
class StoreResetLogTest {
    private static final Duration BETWEEN_RESETS = Duration.ofMillis(300);
    private static final int RESETS = 10;
    private static final Pattern EVENT_LINE =
            Pattern.compile(
                    "time=[0-9T:.-]+Z level=[A-Z]+ event=[a-z_]+ instance=one( [a-z_]+=.*)?");
    private static final String LINE_OF_THE_JVM = "Picked up ";

    private final GatewayFixture fixture = new GatewayFixture();
    private StoreRelay relay;

    @AfterEach
    void close() throws Exception {
        relay.close();
        fixture.close();
    }

    /** Guards against log lines that a failure of the store breaks in two, or that have no time. */
    @Test
    void linesAreWholeWhileTheStoreResetsConnections() throws Exception {
        relay = new StoreRelay(fixture.store.address());
        fixture.storeAddress = relay.address();
        fixture.configure(1, "read");
        GatewayChild gateway = fixture.startChild("one");
        for (int reset = 0; reset < RESETS; reset++) {
            relay.reset();
            Thread.sleep(BETWEEN_RESETS.toMillis());
        }
        GatewayFixture.await("a reset is logged", () -> !resets(gateway).isEmpty());
        // The last line is complete only after the end of the process.
        gateway.terminate();
        GatewayFixture.await("the process has ended", () -> !gateway.isAlive());
        assertEquals(List.of(), linesThatAreNoEvent(gateway));
        resets(gateway).forEach(line -> assertTrue(line.endsWith("\""), line));
    }

    private static List<String> resets(GatewayChild gateway) throws Exception {
        return gateway.linesWith("Connection reset");
    }

    private static List<String> linesThatAreNoEvent(GatewayChild gateway) throws Exception {
        return gateway.linesWith("").stream()
                .filter(line -> !line.startsWith(LINE_OF_THE_JVM))
                .filter(line -> !EVENT_LINE.matcher(line).matches())
                .toList();
    }
}
