package org.tarragonlug.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.IoThreads;

/** Requests that are refused when their head has arrived. */
class RefusedHeadTest {
    private static final int REFUSED = 401;
    private static final int MAX_BODY = 4 * 1024 * 1024;

    private final IoExecutor ioExecutor = IoThreads.create(1);
    private final List<Integer> received = new CopyOnWriteArrayList<>();
    private ForwardingServer server;

    @BeforeEach
    void start() throws Exception {
        ForwardedCallListener listener =
                new ForwardedCallListener() {
                    @Override
                    public void onRequestHead(ForwardedCall call) {
                        if (call.path().equals("/failing-at-once")) {
                            throw new RejectedExecutionException("an executor is closed");
                        }
                        if (call.path().equals("/refused")) {
                            call.answer(REFUSED, Map.of(), HttpBody.EMPTY);
                        } else {
                            call.receiveBody();
                        }
                    }

                    @Override
                    public void onRequest(ForwardedCall call) {
                        if (call.path().equals("/failing")) {
                            throw new RejectedExecutionException("an executor is closed");
                        }
                        received.add(call.body().length());
                        call.answer(200, Map.of(), HttpBody.EMPTY);
                    }

                    @Override
                    public void onCallerDisconnected(ForwardedCall call) {}
                };
        server =
                new ForwardingServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        100,
                        ioExecutor,
                        listener,
                        () -> MAX_BODY);
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
        ioExecutor.closeAsync().toFuture().get();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.listenAddress().getPort());
        socket.setSoTimeout((int) Duration.ofSeconds(8).toMillis());
        return socket;
    }

    private static byte[] head(String path, String headers) {
        return ("POST " + path + " HTTP/1.1\r\nhost: a\r\n" + headers + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    // Guards against a failure of this process, after the request may have been sent, that the HTTP
    // library answers with a status that callers take for the promise "not run".
    @ParameterizedTest
    @CsvSource({"/failing, ''", "/failing, x", "/failing-at-once, ''", "/failing-at-once, x"})
    void failureOfTheProcessIsNoPromise(String path, String body) throws Exception {
        try (Socket socket = connect()) {
            String length = "content-length: " + body.length() + "\r\n";
            socket.getOutputStream().write(head(path, length));
            socket.getOutputStream().write(body.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes("HTTP/1.1 500".length());
            String status = new String(answer, StandardCharsets.US_ASCII);
            assertTrue(Set.of("", "HTTP/1.1 500").contains(status), status);
        }
    }

    /** Reads the head of an answer without a body, in lower case. */
    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended within the head: " + head);
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT);
    }

    private static boolean refuses(String head) {
        return head.startsWith("http/1.1 401");
    }

    /** Guards against a refusal that waits for a body which the caller may send slowly. */
    @Test
    void answerComesBeforeTheBodyAndTheConnectionIsKept() throws Exception {
        try (Socket socket = connect()) {
            OutputStream output = socket.getOutputStream();
            output.write(head("/refused", "content-length: 1000\r\n"));
            String answer = readHead(socket.getInputStream());
            assertTrue(refuses(answer) && !answer.contains("connection: close"), answer);
            output.write(new byte[1000]);
            output.write(head("/a", "content-length: 3\r\n"));
            output.write(new byte[3]);
            assertTrue(readHead(socket.getInputStream()).startsWith("http/1.1 200"));
        }
        assertEquals(List.of(3), received);
        assertEquals(0, server.inProgress());
    }

    /** Guards against a second request that is taken for the body of a refused one. */
    @Test
    void refusedRequestsFollowOneAnother() throws Exception {
        try (Socket socket = connect()) {
            for (int count = 0; count < 20; count++) {
                socket.getOutputStream().write(head("/refused", "content-length: 5\r\n"));
                socket.getOutputStream().write(new byte[5]);
                assertTrue(refuses(readHead(socket.getInputStream())));
            }
        }
    }

    /**
     * Guards against a reset that takes the answer from a caller that first sends its whole body.
     */
    @ParameterizedTest
    @ValueSource(ints = {70_000, 1_000_000, MAX_BODY})
    void callerThatSendsALongBodyFirstGetsTheAnswer(int length) throws Exception {
        for (int count = 0; count < 5; count++) {
            try (Socket socket = connect()) {
                OutputStream output = socket.getOutputStream();
                output.write(head("/refused", "content-length: " + length + "\r\n"));
                output.write(new byte[length]);
                Thread.sleep(50);
                String answer = readHead(socket.getInputStream());
                assertTrue(refuses(answer) && answer.contains("connection: close"), answer);
                assertEquals(-1, socket.getInputStream().read());
            }
        }
        assertEquals(List.of(), received);
    }

    @Test
    void callerWithChunksGetsTheAnswer() throws Exception {
        try (Socket socket = connect()) {
            OutputStream output = socket.getOutputStream();
            output.write(head("/refused", "transfer-encoding: chunked\r\n"));
            for (int count = 0; count < 100; count++) {
                output.write("1000\r\n".getBytes(StandardCharsets.US_ASCII));
                output.write(new byte[0x1000]);
                output.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String answer = readHead(socket.getInputStream());
            assertTrue(refuses(answer) && answer.contains("connection: close"), answer);
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against a caller that waits for the permission to send its body. */
    @Test
    void callerThatWaitsForAPermissionGetsTheAnswer() throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(head("/refused", "expect: 100-continue\r\ncontent-length: 10\r\n"));
            String answer = readHead(socket.getInputStream());
            assertTrue(refuses(answer) && answer.contains("connection: close"), answer);
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against connections that callers keep busy without ever sending a request. */
    @Test
    void callerThatSendsWithoutEndIsGivenUp() throws Exception {
        try (Socket socket = connect()) {
            OutputStream output = socket.getOutputStream();
            output.write(head("/refused", "content-length: 1000000000\r\n"));
            assertTrue(refuses(readHead(socket.getInputStream())));
            long sent = 0;
            try {
                while (sent < 500_000_000L) {
                    output.write(new byte[64 * 1024]);
                    sent += 64 * 1024;
                }
            } catch (IOException closed) {
                assertTrue(sent < 100_000_000L, "closed after " + sent);
                return;
            }
            throw new AssertionError("the server read all bytes");
        }
    }

    /** Guards against a connection that stays open for a body that never ends. */
    @Test
    void callerThatStopsSendingIsGivenUp() throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head("/refused", "content-length: 1000\r\n"));
            assertTrue(refuses(readHead(socket.getInputStream())));
            assertTrue(isClosed(socket));
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }
}
