package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.gateway.StreamBytes.LAST_CHUNK;
import static org.tarragonlug.gateway.StreamBytes.event;
import static org.tarragonlug.gateway.StreamBytes.unframedHead;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Servers that answer a long upload at once with a success without a length, send a part of its
 * body and give up while the upload is still being written.
 */
class EarlyAnswerTest {
    private static final int UPLOAD_BYTES = 3 * 1024 * 1024;
    private static final int CHUNK_BYTES = 32 * 1024;
    private static final int REQUESTS = 6;
    private static final long PAUSE_MILLIS = 20;

    /** What a caller has received if its own connection is reset. */
    private static final String RESET = "(reset)";

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(15);

    private final GatewayFixture fixture = new GatewayFixture();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final Set<String> reachedServer = ConcurrentHashMap.newKeySet();

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** How a server gives up. */
    private enum Ending {
        RESET,
        END_THEN_RESET;

        private void end(ScriptedServer.Sender sender) {
            if (this == END_THEN_RESET) {
                sender.end();
                pause();
            }
            sender.reset();
        }

        private static void pause() {
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** How a caller states the length of its upload. */
    private enum Upload {
        LENGTH {
            @Override
            String header() {
                return "content-length: " + UPLOAD_BYTES;
            }

            @Override
            void send(OutputStream output) throws IOException {
                output.write(new byte[UPLOAD_BYTES]);
            }
        },
        CHUNKS {
            @Override
            String header() {
                return "transfer-encoding: chunked";
            }

            @Override
            void send(OutputStream output) throws IOException {
                byte[] size = (Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes();
                for (int sent = 0; sent < UPLOAD_BYTES; sent += CHUNK_BYTES) {
                    output.write(size);
                    output.write(new byte[CHUNK_BYTES]);
                    output.write("\r\n".getBytes());
                }
                output.write("0\r\n\r\n".getBytes());
            }
        };

        abstract String header();

        abstract void send(OutputStream output) throws IOException;
    }

    /** Starts a server that answers requests of callers early, and all others with an error. */
    private void startServer(String service, String body, Ending ending) {
        fixture.startScripted(
                service + "-1",
                service,
                List.of("m1"),
                new ScriptedServer.Script() {
                    @Override
                    public boolean answerHead(ScriptedServer.Request head) {
                        if (head.id().isEmpty()) {
                            return false;
                        }
                        reachedServer.add(head.id());
                        head.sender().send(unframedHead(head.id()) + body);
                        ending.end(head.sender());
                        return true;
                    }

                    @Override
                    public ScriptedServer.Answer answer(
                            ScriptedServer.Request request, int number, int onConnection) {
                        return new ScriptedServer.Answer(
                                ScriptedServer.answer(500, "", "", ""), ScriptedServer.End.KEEP);
                    }
                });
    }

    private void startGateway() throws Exception {
        fixture.configure(1, "read");
        fixture.startGateway("one");
        GatewayFixture.await("ready", () -> fixture.readiness(0) == 200);
    }

    /** Uploads to the gateway and returns all bytes until it ends the connection. */
    private String receive(String path, String id, Upload upload) throws IOException {
        int port = fixture.gatewaySettings.get(0).callerAddress().getPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
            String head =
                    "POST "
                            + path
                            + " HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n"
                            + "tarragonlug-request-id: "
                            + id
                            + "\r\ntarragonlug-deadline-ms: 5000\r\ntarragonlug-model: m1\r\n"
                            + upload.header()
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            upload.send(socket.getOutputStream());
            byte[] answer = socket.getInputStream().readAllBytes();
            return new String(answer, StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return RESET;
        }
    }

    @Nested
    class PlainServices {
        // Guards against a part of the answer that a caller gets as the whole, on routes whose
        // requests may run once and on those whose requests may run again.
        @ParameterizedTest
        @CsvSource({
            "/issue/1, part, RESET, LENGTH",
            "/issue/1, part, RESET, CHUNKS",
            "/issue/1, part, END_THEN_RESET, LENGTH",
            "/issue/1, part, END_THEN_RESET, CHUNKS",
            "/issue/1, '', RESET, LENGTH",
            "/issue/1, '', END_THEN_RESET, LENGTH",
            "/read/1, part, RESET, LENGTH",
            "/read/1, part, END_THEN_RESET, LENGTH",
            "/read/1, part, END_THEN_RESET, CHUNKS"
        })
        void callerLearnsThatTheServerFailed(String path, String body, Ending ending, Upload upload)
                throws Exception {
            startServer("records", body, ending);
            startGateway();
            for (int request = 0; request < REQUESTS; request++) {
                String id = "r" + requestCount.incrementAndGet();
                String received = receive(path, id, upload);
                boolean failed = received.startsWith("HTTP/1.1 50") || received.equals(RESET);
                assertTrue(failed, id + ": " + received);
                assertFalse(received.startsWith("HTTP/1.1 2"), received);
                assertFalse(received.contains("part"), received);
            }
            assertFalse(reachedServer.isEmpty(), "no request reached the server");
        }
    }

    @Nested
    class ModelServers {
        // Guards against a stream that ends as if it were complete after its first events.
        @ParameterizedTest
        @CsvSource({
            "/score/1, RESET, LENGTH",
            "/score/1, END_THEN_RESET, LENGTH",
            "/score/1, END_THEN_RESET, CHUNKS",
            "/ask/1, RESET, LENGTH",
            "/ask/1, END_THEN_RESET, LENGTH"
        })
        void streamDoesNotLookComplete(String path, Ending ending, Upload upload) throws Exception {
            startServer("engines", event(1) + event(2), ending);
            startGateway();
            for (int request = 0; request < REQUESTS; request++) {
                String id = "r" + requestCount.incrementAndGet();
                String received = receive(path, id, upload);
                boolean failed = received.startsWith("HTTP/1.1 50");
                assertTrue(failed || !received.contains(LAST_CHUNK), received);
            }
            assertFalse(reachedServer.isEmpty(), "no request reached the server");
        }
    }
}
