package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.trial.GatewayChild;

/** Signals that a gateway process gets before its start is complete. */
class SignalDuringStartTest {
    private static final int STARTS = 8;
    private static final Duration DRAIN_TIME = Duration.ofSeconds(4);
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int ADDRESS_IN_USE_STATUS = 2;

    /** Time after which a process that a signal ends has ended. */
    private static final long SIGNAL_MILLIS = 300;

    private final GatewayFixture fixture = new GatewayFixture();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void awaitConnection(GatewayChild child, InetSocketAddress address) {
        while (child.isAlive()) {
            try (Socket connected = new Socket()) {
                connected.connect(address);
                return;
            } catch (IOException notListening) {
                Thread.onSpinWait();
            }
        }
    }

    // Guards against a process that accepts connections before a signal to stop lets it drain: it
    // would end at once, with the requests in progress.
    @Test
    void processThatAcceptsConnectionsDrains() throws Exception {
        fixture.drainTime = DRAIN_TIME;
        fixture.configure(1, "read");
        for (int number = 0; number < STARTS; number++) {
            GatewaySettings settings = fixture.newSettings("start-" + number);
            GatewayChild child = fixture.launchChild(settings);
            awaitConnection(child, settings.callerAddress());
            child.terminate();
            GatewayFixture.await("process ended", () -> !child.isAlive());
            assertEquals(1, child.linesWith("event=drain_started").size(), "start " + number);
        }
    }

    // Guards against a gateway whose stop fails or never ends if its start is not complete, and
    // against one that accepts connections after its drain.
    @Test
    void gatewayIsDrainedBeforeItsStart() throws Exception {
        fixture.drainTime = DRAIN_TIME;
        GatewaySettings settings = fixture.newSettings("one");
        Gateway gateway = new Gateway(settings);
        fixture.gateways.add(gateway);
        CompletableFuture<Void> drained = gateway.drain().toCompletableFuture();
        drained.get(DRAIN_TIME.toMillis(), TimeUnit.MILLISECONDS);
        gateway.start();
        GatewayFixture.await("not listening", () -> !accepts(settings.callerAddress()));
    }

    private static boolean accepts(InetSocketAddress address) {
        try (Socket connected = new Socket()) {
            connected.connect(address);
            return true;
        } catch (IOException notListening) {
            return false;
        }
    }

    // Guards against a process that can not start and then waits for its drain or tells success.
    @Test
    void processThatCanNotStartEndsWithItsStatus() throws Exception {
        GatewaySettings settings = fixture.newSettings("one");
        Gateway first = new Gateway(settings);
        fixture.gateways.add(first);
        first.start();
        Path file = Files.createTempFile("gateway", ".json");
        try {
            Files.write(file, settingsText(settings).getBytes(StandardCharsets.UTF_8));
            Process process = start(file);
            assertTrue(process.waitFor(LIMIT.toSeconds(), TimeUnit.SECONDS));
            assertEquals(ADDRESS_IN_USE_STATUS, process.exitValue());
        } finally {
            Files.delete(file);
        }
    }

    // Guards against a process that ends because its settings change while it reads them.
    @Test
    void changeOfSettingsDuringTheStartDoesNotEndTheProcess(@TempDir Path directory)
            throws Exception {
        Path file = directory.resolve("settings.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        GatewaySettings settings = fixture.newSettings("one");
        Process process = start(file);
        try {
            // The process opens the file at the same time as this does.
            try (var settingsSent = Files.newOutputStream(file)) {
                String kill = "kill -HUP " + process.pid();
                assertEquals(0, new ProcessBuilder("sh", "-c", kill).start().waitFor());
                process.waitFor(SIGNAL_MILLIS, TimeUnit.MILLISECONDS);
                assertTrue(process.isAlive(), "ended by the signal");
                settingsSent.write(settingsText(settings).getBytes(StandardCharsets.UTF_8));
            }
            GatewayFixture.await("listens", () -> accepts(settings.callerAddress()));
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static Process start(Path settingsFile) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(GatewayFixture.childCommand());
        builder.environment().put("TARRAGONLUG_NODE_FILE", settingsFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        return builder.start();
    }

    private static String settingsText(GatewaySettings settings) throws TarragonlugException {
        var json = Json.object();
        json.put("instance", settings.instance().value());
        json.put("failureDomain", settings.failureDomain().value());
        json.put("callerAddress", text(settings.callerAddress()));
        json.put("readinessAddress", text(settings.readinessAddress()));
        json.put("peerAddress", text(settings.peerAddress()));
        json.put("adminAddress", text(settings.adminAddress()));
        json.put("storeAddress", text(settings.storeAddress()));
        json.put("drainSeconds", DRAIN_TIME.toSeconds());
        return json.toString();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
