package org.tarragonlug.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TCP server with one thread that answers each request with given bytes, which need not be valid
 * HTTP.
 */
public final class RawServer implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("content-length: *(\\d+)", Pattern.CASE_INSENSITIVE);

    private final ServerSocket listener;
    private final IntFunction<byte[]> answers;
    private final boolean closeAfterAnswer;
    private final AtomicInteger requests = new AtomicInteger();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();

    /**
     * Starts the server.
     *
     * @param answers supplies the bytes of the answer by the number of the request, from 0; null
     *     means that the request gets no answer
     * @param closeAfterAnswer whether the server closes the connection after the answer; otherwise
     *     the connection stays open and further requests on it are not read
     */
    public RawServer(IntFunction<byte[]> answers, boolean closeAfterAnswer) {
        this.answers = answers;
        this.closeAfterAnswer = closeAfterAnswer;
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread thread = new Thread(this::serve, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a complete answer with status 200 and a body. */
    public static byte[] ok(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 200 OK\r\ncontent-length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the head and one chunk of a chunked answer, without its end. */
    public static byte[] unfinished(String chunk) {
        String head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        String size = Integer.toHexString(chunk.getBytes(StandardCharsets.UTF_8).length);
        return (head + size + "\r\n" + chunk + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns an address on which no server listens. */
    public static InetSocketAddress unusedAddress() {
        try (RawServer server = new RawServer(n -> null, true)) {
            return server.address();
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the number of requests that the server has read. */
    public int requests() {
        return requests.get();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                readRequest(socket.getInputStream());
                byte[] answer = answers.apply(requests.getAndIncrement());
                if (answer != null) {
                    socket.getOutputStream().write(answer);
                    socket.getOutputStream().flush();
                }
                if (closeAfterAnswer) {
                    socket.close();
                }
            } catch (IOException e) {
                // The client or the test closed the connection.
                continue;
            }
        }
    }

    /**
     * Reads a whole request. If the body stayed unread, closing the connection would reset it, and
     * the client could lose the answer.
     */
    static void readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = input.read();
            if (value < 0) {
                throw new IOException("no request");
            }
            head.append((char) value);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        if (length.find()) {
            input.readNBytes(Integer.parseInt(length.group(1)));
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
