package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/** Guards against settings that are accepted but wrong, and faults shown one run at a time. */
class SettingsLoaderTest {
    private final SettingsLoader loader = new SettingsLoader();
    private final ObjectNode settings = Json.object();
    @TempDir private Path directory;

    @BeforeEach
    void createValidSettings() {
        settings.put("deployment", "d").put("instance", "entry-1").put("failureDomain", "z");
        settings.put("callerAddress", "127.0.0.1:8080").put("adminAddress", "127.0.0.1:0");
        settings.put("peerAddress", "[::1]:7000");
        settings.putObject("platform")
                .put("objectApi", "10.0.0.1:1")
                .put("instanceList", "10.0.0.1:2")
                .put("weightStore", "10.0.0.1:3");
        settings.putArray("peers").add("10.0.0.2:7000");
    }

    private Settings load(String text) throws Exception {
        return loader.load(Files.writeString(directory.resolve("entry.json"), text));
    }

    private String failureMessage(String text) {
        TarragonlugException failure = assertThrows(TarragonlugException.class, () -> load(text));
        assertEquals(ErrorCode.SETTINGS_INVALID, failure.code());
        return failure.getMessage();
    }

    private void assertFaults(String... expected) {
        List<String> found = loader.check(settings).stream().map(Fault::toString).sorted().toList();
        assertEquals(List.of(expected), found);
    }

    @Test
    void readsLimitsAndDefaultsMissingOnes() throws Exception {
        assertEquals(Settings.Limits.DEFAULT, load(settings.toString()).limits());
        settings.putObject("limits").put("drainTime", "5m").put("connections", 7);
        Settings loaded = load(settings.toString());
        assertEquals(Duration.ofMinutes(5), loaded.limits().drainTime());
        assertEquals(7, loaded.limits().connections());
        assertEquals(7000, loaded.peerAddress().getPort());
    }

    @Test
    void reportsAllFaultsAtOnceWithPathFindingAndRemedy() {
        settings.remove("instance");
        settings.put("colour", "red").put("deployment", 5).put("callerAddress", "localhost:80");
        settings.put("adminAddress", "[::1]:7000");
        settings.withArray("peers").add("10.0.0.3:70000");
        settings.putObject("fencing").put("flight", "SOMETIMES");
        settings.putObject("limits").put("connections", 0).put("drainTime", "2h");
        assertFaults(
                "$.callerAddress: \"localhost:80\"; remedy: use IP:port for addresses, 500ms, 30s"
                        + " or 5m for durations",
                "$.deployment: integer found, string expected; remedy: write a value of the"
                        + " expected type",
                "$.fencing.flight: \"SOMETIMES\"; remedy: the value does not have a value in the"
                        + " enumeration [\"CHECKED\", \"IGNORED\"]",
                "$.limits.connections: 0; remedy: the value must have a minimum value of 1",
                "$.limits.drainTime: \"2h\"; remedy: use 0ms to 3600s",
                "$.peerAddress: the same address as adminAddress; remedy: give each its own port",
                "$.peers[1]: \"10.0.0.3:70000\"; remedy: use an IP number and a port up to 65535",
                "$: the field instance is missing; remedy: add the field instance",
                "$: unknown field colour; remedy: remove it or correct its name");
    }

    /** Such numbers went to the name service, which start-up must not need. */
    @Test
    void reportsInvalidIpAddresses() {
        settings.put("callerAddress", "999.1.1.1:80").put("adminAddress", "[1:2]:80");
        assertFaults(
                "$.adminAddress: \"[1:2]:80\"; remedy: use an IP number and a port up to 65535",
                "$.callerAddress: \"999.1.1.1:80\"; remedy: use an IP number and a port up to"
                        + " 65535");
    }

    /** Others were told an address at which nobody can be reached. */
    @Test
    void reportsWildcardPeerAddressAndPortZero() {
        settings.put("peerAddress", "0.0.0.0:0");
        assertFaults(
                "$.peerAddress: \"0.0.0.0:0\"; remedy: use a port from 1 to 65535, as others"
                        + " connect to it",
                "$.peerAddress: \"0.0.0.0:0\"; remedy: use the address that others connect to");
    }

    /** A duration too long for the parser was replaced by the default in silence. */
    @Test
    void reportsDurationsOutOfBounds() {
        settings.putObject("limits").put("requestTime", "0s").put("drainTime", "9999999999999s");
        assertFaults(
                "$.limits.drainTime: \"9999999999999s\"; remedy: use IP:port for addresses, 500ms,"
                        + " 30s or 5m for durations",
                "$.limits.requestTime: \"0s\"; remedy: use 100ms to 600s");
    }

    /** The check of ports took the value of any field under such a name for an address. */
    @Test
    void acceptsServerGroupNamedLikeAddressField() throws Exception {
        settings.putObject("fencing").put("peers", "CHECKED");
        assertEquals(1, load(settings.toString()).fencing().size());
    }

    @Test
    void reportsFilesThatAreNotOneJsonDocument() {
        assertTrue(failureMessage("").contains("the file is empty"));
        assertTrue(failureMessage("{").contains("remedy: write valid JSON"));
        assertTrue(failureMessage(settings + " {}").contains("Trailing token"));
        assertTrue(failureMessage("{\"a\":1,\"a\":2}").contains("Duplicate field 'a'"));
    }
}
