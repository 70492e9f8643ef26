package org.tarragonlug.http;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP server that answers each connection with a beginning and then repeats a part without end,
 * until the client closes the connection. Each connection has its own thread.
 */
final class EndlessServer implements AutoCloseable {
    /** What such a server sends. */
    enum Kind {
        HEADER_LINES("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        SHORT_HEADER_LINES("HTTP/1.1 200 OK\r\n", "a:\r\n"),
        ONE_HEADER_LINE("HTTP/1.1 200 OK\r\na: ", "b"),
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        INTERIM_ANSWERS("", "HTTP/1.1 102 Processing\r\n\r\n"),
        INTERIM_ANSWERS_WITH_HEADERS("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
        EMPTY_LINES("", "\r\n"),
        TRAILER_LINES("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
        TRAILERS_AFTER_BODY(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a: b\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
        BODY_OF_STATED_LENGTH("HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", "x"),
        CHUNKS("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "x");

        /** The kinds that send a body without end; the others never come to a body or pass it. */
        static final Set<Kind> BODIES = EnumSet.of(BODY_OF_STATED_LENGTH, CHUNKS, BODY_UNTIL_CLOSE);

        private final String beginning;
        private final String repeated;

        Kind(String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }
    }

    /** Number of bytes after which a connection pauses, so that a test is not a load test. */
    private static final int BYTES_BETWEEN_PAUSES = 64 * 1024;

    private static final int PAUSE_MILLIS = 5;

    private final ServerSocket listener;
    private final Kind kind;
    private final AtomicLong sentBytes = new AtomicLong();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();

    EndlessServer(Kind kind) {
        this.kind = kind;
        try {
            listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::acceptConnections);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the number of bytes sent on all connections, including those not yet received. */
    long sentBytes() {
        return sentBytes.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                startThread(() -> send(socket));
            } catch (IOException e) {
                // The test closed the listener.
                return;
            }
        }
    }

    private void send(Socket socket) {
        byte[] part = part();
        try (OutputStream output = socket.getOutputStream()) {
            output.write(kind.beginning.getBytes(StandardCharsets.US_ASCII));
            while (true) {
                output.write(part);
                sentBytes.addAndGet(part.length);
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (IOException e) {
            // The client closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] part() {
        int count = BYTES_BETWEEN_PAUSES / kind.repeated.length();
        return kind.repeated.repeat(count).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}
