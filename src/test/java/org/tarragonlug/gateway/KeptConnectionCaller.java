package org.tarragonlug.gateway;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A caller that sends one request after another on a connection, for as long as the gateway keeps
 * it.
 */
final class KeptConnectionCaller implements AutoCloseable {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(12);
    private static final int NO_CONTENT_LENGTH = -1;

    /** A connection that is closed later than this was not closed because it was idle. */
    private static final long PROMPT_CLOSE_MILLIS = 200;

    private static final int HEXADECIMAL = 16;

    /**
     * A complete answer.
     *
     * @param status its status
     * @param body its body, without the framing
     * @param connectionKept whether the connection can be used further
     */
    record Answer(int status, String body, boolean connectionKept) {}

    /**
     * A request.
     *
     * @param path its path
     * @param id its id
     * @param model the model that it names; empty for none
     * @param bodyBytes length of its body
     * @param pauseMillis time between the halves of the body
     * @param lastOfConnection whether the caller asks that the connection is closed
     */
    record Request(
            String path,
            String id,
            String model,
            int bodyBytes,
            long pauseMillis,
            boolean lastOfConnection) {
        private String head() {
            return "POST "
                    + path
                    + " HTTP/1.1\r\nhost: 127.0.0.1\r\ntarragonlug-request-id: "
                    + id
                    + "\r\ntarragonlug-deadline-ms: 5000\r\n"
                    + (model.isEmpty() ? "" : "tarragonlug-model: " + model + "\r\n")
                    + (lastOfConnection ? "connection: close\r\n" : "")
                    + "content-length: "
                    + bodyBytes
                    + "\r\n\r\n";
        }
    }

    private final Socket socket;
    private final InputStream input;

    /**
     * Connects.
     *
     * @throws IOException if the gateway takes no connection
     */
    KeptConnectionCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
        socket.setTcpNoDelay(true);
        input = socket.getInputStream();
    }

    /**
     * Sends a request and reads its answer.
     *
     * @throws IOException if the connection ends before the answer is complete
     */
    Answer send(Request request) throws IOException, InterruptedException {
        String half = "x".repeat(request.bodyBytes() / 2);
        write(request.head() + half);
        TimeUnit.MILLISECONDS.sleep(request.pauseMillis());
        write("x".repeat(request.bodyBytes() - half.length()));
        long sentNanos = System.nanoTime();
        try {
            return readAnswer();
        } catch (IOException closed) {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            String late = millis > PROMPT_CLOSE_MILLIS ? "closed late" : "closed";
            throw new IOException(late, closed);
        }
    }

    private Answer readAnswer() throws IOException {
        int status = Integer.parseInt(readLine().split(" ")[1]);
        int length = NO_CONTENT_LENGTH;
        boolean kept = true;
        for (String header = readLine(); !header.isEmpty(); header = readLine()) {
            if (header.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring("content-length:".length()).strip());
            }
            kept &= !header.equals("connection: close");
        }
        String body = length == NO_CONTENT_LENGTH ? readChunks() : readText(length);
        return new Answer(status, body, kept);
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        int length = Integer.parseInt(readLine(), HEXADECIMAL);
        while (length > 0) {
            body.append(readText(length));
            readLine();
            length = Integer.parseInt(readLine(), HEXADECIMAL);
        }
        readLine();
        return body.toString();
    }

    private String readText(int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the answer is not complete");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection was closed");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
