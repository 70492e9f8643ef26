package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonlug.standin.PlatformServerStandIn;

/** One odd entry among those of the servers, from another writer, before and after the start. */
class OddServerEntryTest {
    private static final int DEEP = 200_000;
    private static final int LONG = 100_000;

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static String entry(String address, String slots, String further) {
        return "{\"service\":\"records\",\"address\":\""
                + address
                + "\",\"zone\":\"home\",\"slots\":"
                + slots
                + ",\"state\":\"ready\""
                + further
                + "}";
    }

    private static Arguments odd(String name, String content) {
        return Arguments.of(name, content.getBytes(StandardCharsets.UTF_8));
    }

    static Stream<Arguments> oddEntries() {
        String deep = "[".repeat(DEEP) + "]".repeat(DEEP);
        String deepObjects = "{\"a\":".repeat(DEEP) + "1" + "}".repeat(DEEP);
        String digits = "9".repeat(LONG);
        String address = "127.0.0.1:1";
        return Stream.of(
                odd("deep arrays", deep),
                odd("deep objects", deepObjects),
                odd("deep models", entry(address, "8", ",\"models\":" + deep)),
                odd("unknown deep field", entry("bad", "8", ",\"x\":" + deepObjects)),
                odd("long integer", entry(address, digits, "")),
                odd("long fraction", entry(address, "0." + digits, "")),
                odd("long start time", entry("bad", "8", ",\"born\":" + digits)),
                odd("infinite number", entry(address, "1e999999999", "")),
                odd("integer beyond 64 bits", entry(address, "99999999999999999999", "")),
                odd("negative slots", entry(address, "-8", "")),
                odd("port beyond 65535", entry("127.0.0.1:65536", "8", "")),
                odd("five nines as port", entry("127.0.0.1:99999", "8", "")),
                odd("long port", entry("127.0.0.1:" + digits, "8", "")),
                odd("negative port", entry("127.0.0.1:-1", "8", "")),
                odd("port zero", entry("127.0.0.1:0", "8", "")),
                odd("long field name", "{\"" + digits + "\":1}"),
                odd("half a character", entry("\\ud800", "8", "")),
                odd("half a character as name", "{\"\\udc00\":1}"),
                Arguments.of("no UTF-8", new byte[] {'"', (byte) 0xff, (byte) 0xc0, '"'}));
    }

    // Guards against a single entry that ends the process, or after which no change of the servers
    // is seen any more.
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddEntries")
    void gatewayFollowsTheOtherServers(String name, byte[] content) throws Exception {
        fixture.store.putBytes("servers", "odd-before", content);
        PlatformServerStandIn first = fixture.startServer("r1", "records");
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
        assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
        fixture.store.putBytes("servers", "odd-after", content);
        PlatformServerStandIn second = fixture.startServer("r2", "records");
        first.close();
        fixture.store.remove("servers", "r1");
        GatewayFixture.await(
                "the second server is used",
                () -> {
                    fixture.send(0, "/read/1", "", "x");
                    return !second.runsByRequestId().isEmpty();
                });
        assertEquals(200, fixture.send(0, "/read/1", "", "x").statusCode());
    }
}
