package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.trial.GatewayChild;

/** Answers that their callers have not read yet when a gateway process is to end. */
class ProcessExitTest {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(8);

    /** Time after which a process without requests in progress has ended. */
    private static final Duration IDLE_DRAIN_TIME = Duration.ofSeconds(4);

    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    /** More than the operating system keeps for a connection whose caller does not read. */
    private static final int PROBE_BYTES = 6 * 1024 * 1024;

    private static final long PROBE_MILLIS = 1000;

    /** Steps in the lengths of answers; the last bytes of some of them stay in the gateway. */
    private static final int STEP_BYTES = 16 * 1024;

    private static final int FIRST_STEP = 1;
    private static final int LAST_STEP = 3;

    private final GatewayFixture fixture = new GatewayFixture();
    private GatewayChild child;

    @BeforeEach
    void start() throws Exception {
        fixture.drainTime = DRAIN_TIME;
        fixture.startScripted(
                "records",
                "records",
                List.of(),
                (request, number, on) ->
                        new ScriptedServer.Answer(
                                ScriptedServer.success(request.id(), "x".repeat(length(request))),
                                ScriptedServer.End.KEEP));
        fixture.configure(1, "read");
        child = fixture.startChild("one");
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Returns the length of the answer, which the path of a request states. */
    private static int length(ScriptedServer.Request request) {
        return Integer.parseInt(request.line().split("[/ ]")[3]);
    }

    /**
     * Returns how many bytes of an answer the operating system keeps for a caller that does not
     * read.
     */
    private int systemCapacity() throws Exception {
        try (Socket socket = send(PROBE_BYTES)) {
            TimeUnit.MILLISECONDS.sleep(PROBE_MILLIS);
            int gatewayPort = socket.getPort();
            int callerPort = socket.getLocalPort();
            return queuedBytes(gatewayPort, callerPort, 0)
                    + queuedBytes(callerPort, gatewayPort, 1);
        }
    }

    /** Returns the length of a queue of a socket: 0 for what it sends, 1 for what it received. */
    private static int queuedBytes(int localPort, int remotePort, int queue) throws IOException {
        String local = ":%04X".formatted(localPort);
        String remote = ":%04X".formatted(remotePort);
        for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(file))) {
                String[] fields = line.strip().split(" +");
                if (fields[1].endsWith(local) && fields[2].endsWith(remote)) {
                    return Integer.parseInt(fields[4].split(":")[queue], 16);
                }
            }
        }
        throw new IOException("no socket from port " + localPort + " to " + remotePort);
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
        return socket;
    }

    /** Sends a request for an answer of a length, and waits until the server has given it. */
    private Socket send(int length) throws Exception {
        Socket socket = connect(fixture.gatewaySettings.get(0).callerAddress().getPort());
        String head =
                "POST /read/"
                        + length
                        + " HTTP/1.1\r\nhost: 127.0.0.1\r\ntarragonlug-request-id: r"
                        + length
                        + "\r\ntarragonlug-deadline-ms: 9000\r\ncontent-length: 1\r\n\r\nx";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        GatewayFixture.await(
                "answered",
                () ->
                        child.linesWith("event=forward_ended").stream()
                                .anyMatch(line -> line.contains("request=r" + length)));
        return socket;
    }

    /** Reads an answer and returns the length of its body. */
    private static int read(Socket socket) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(received);
        String text = received.toString(StandardCharsets.US_ASCII);
        return text.length() - (text.indexOf("\r\n\r\n") + 4);
    }

    // Guards against a process that ends while the last bytes of answers still wait for callers.
    @Test
    void answersAreSentWholeBeforeTheProcessEnds() throws Exception {
        int capacity = systemCapacity();
        Map<Integer, Socket> sockets = new TreeMap<>();
        for (int step = FIRST_STEP; step <= LAST_STEP; step++) {
            int length = capacity + step * STEP_BYTES;
            sockets.put(length, send(length));
        }
        child.terminate();
        TimeUnit.MILLISECONDS.sleep(IDLE_DRAIN_TIME.toMillis());
        Map<Integer, Integer> missing = new TreeMap<>();
        for (Map.Entry<Integer, Socket> each : sockets.entrySet()) {
            try (Socket socket = each.getValue()) {
                missing.put(each.getKey(), each.getKey() - read(socket));
            }
        }
        missing.values().removeIf(bytes -> bytes == 0);
        assertEquals(Map.of(), missing, "bytes missing, by length of the answer");
        GatewayFixture.await("process ended", () -> !child.isAlive());
    }

    // Guards against a caller that reads nothing and keeps the process beyond its drain time.
    @Test
    void callerThatReadsNothingDoesNotKeepTheProcess() throws Exception {
        try (Socket socket = send(systemCapacity() + LAST_STEP * STEP_BYTES)) {
            child.terminate();
            TimeUnit.MILLISECONDS.sleep(DRAIN_TIME.toMillis());
            assertTrue(socket.isConnected());
            assertFalse(child.isAlive());
        }
    }
}
