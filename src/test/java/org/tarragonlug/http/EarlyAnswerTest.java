package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that answer without a length while the request is still being written to them, and end
 * the connection in some way.
 */
class EarlyAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final int CALLS = 12;
    private static final int MEBIBYTE = 1024 * 1024;

    /** Time between the end and the reset of a connection, longer than a reader needs. */
    private static final long PAUSE_MILLIS = 20;

    private final LoopbackFixture loopback = new LoopbackFixture();
    private ServerSocket listener;

    /** How the server goes on after its answer. */
    private enum Ending {
        RESET {
            @Override
            void end(Socket socket) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        /** The connection ends in order; since the request is unread, it is reset at once. */
        CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                socket.close();
            }
        },
        END_THEN_RESET {
            @Override
            void end(Socket socket) throws IOException, InterruptedException {
                socket.shutdownOutput();
                Thread.sleep(PAUSE_MILLIS);
                RESET.end(socket);
            }
        },
        /** The server reads the request to its end after its answer. */
        END_AND_READ_ON {
            @Override
            void end(Socket socket) throws IOException {
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
                socket.close();
            }
        };

        abstract void end(Socket socket) throws IOException, InterruptedException;
    }

    @BeforeEach
    void open() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        loopback.close();
    }

    private void startServer(String body, Ending ending) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!listener.isClosed()) {
                                answerOne(body, ending);
                            }
                        },
                        "early-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void answerOne(String body, Ending ending) {
        try (Socket socket = listener.accept()) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write((HEAD + body).getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(2);
            ending.end(socket);
        } catch (IOException closed) {
            // The client or the test closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            head.append((char) next);
        }
    }

    /** Makes calls and counts their results: the body of the answer or the kind of failure. */
    private Map<String, Integer> results(int uploadBytes) throws Exception {
        Map<String, Integer> counts = new TreeMap<>();
        for (int number = 0; number < CALLS; number++) {
            HttpCall call =
                    new HttpCall(
                            "POST",
                            "/a",
                            Map.of(),
                            new byte[uploadBytes],
                            LoopbackFixture.LONG_TIMEOUT,
                            ConnectionUse.NEW);
            InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
            String result =
                    LoopbackFixture.await(
                            loopback.connections
                                    .exchange(address, call)
                                    .handle(EarlyAnswerTest::result));
            counts.merge(result, 1, Integer::sum);
        }
        return counts;
    }

    private static String result(HttpAnswer answer, Throwable failure) {
        return failure == null
                ? "answer " + new String(answer.body(), StandardCharsets.US_ASCII)
                : ((HttpFailure) failure).kind().name();
    }

    @Nested
    class Parts {
        private static final Map<String, Integer> ALL_LOST = Map.of("CONNECTION_LOST", CALLS);

        // Guards against a part of an answer that passes for the whole: the connection is reset
        // while the request is still being written, and a write meets the reset before a read.
        @ParameterizedTest
        @ValueSource(ints = {600, 200_000, 3 * MEBIBYTE})
        void answerThatIsResetIsIncomplete(int uploadBytes) throws Exception {
            startServer("part", Ending.RESET);
            assertEquals(ALL_LOST, results(uploadBytes));
        }

        // Guards against the same where the end of the connection arrives before its reset.
        @ParameterizedTest
        @ValueSource(ints = {600, 200_000, 3 * MEBIBYTE})
        void answerThatEndsRightBeforeTheResetIsIncomplete(int uploadBytes) throws Exception {
            startServer("part", Ending.CLOSE);
            assertEquals(ALL_LOST, results(uploadBytes));
        }

        // Guards against the same where the request cannot all be delivered, and the reset shows
        // it.
        @ParameterizedTest
        @ValueSource(ints = {1 * MEBIBYTE, 3 * MEBIBYTE})
        void answerThatEndsBeforeTheRequestIsIncomplete(int uploadBytes) throws Exception {
            startServer("part", Ending.END_THEN_RESET);
            assertEquals(ALL_LOST, results(uploadBytes));
        }

        // Guards against a head that passes for an answer with an empty body.
        @ParameterizedTest
        @EnumSource(names = {"RESET", "CLOSE", "END_THEN_RESET"})
        void headAloneIsIncomplete(Ending ending) throws Exception {
            startServer("", ending);
            assertEquals(ALL_LOST, results(3 * MEBIBYTE));
        }
    }

    @Nested
    class WholeAnswers {
        // Guards against whole answers that are lost because they came before the request's end.
        @ParameterizedTest
        @ValueSource(ints = {600, 200_000, 1 * MEBIBYTE})
        void answerIsCompleteIfTheServerReadsOn(int uploadBytes) throws Exception {
            startServer("whole", Ending.END_AND_READ_ON);
            assertEquals(Map.of("answer whole", CALLS), results(uploadBytes));
        }

        // Guards against whole answers to calls without a body that are lost.
        @ParameterizedTest
        @EnumSource(names = {"CLOSE", "END_AND_READ_ON"})
        void answerToACallWithoutBodyIsComplete(Ending ending) throws Exception {
            startServer("whole", ending);
            assertEquals(Map.of("answer whole", CALLS), results(0));
        }
    }
}
