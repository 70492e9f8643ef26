package org.tarragonlug.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** The bytes of streams, as servers send them and as callers receive them. */
final class StreamBytes {
    /** The end of a complete stream in chunks. */
    static final String LAST_CHUNK = "\r\n0\r\n";

    /** The last part of a complete stream, to be sent after a chunk. */
    static final String END = "0\r\n\r\n";

    /** Header with which a server vouches for its answer. */
    static final String SEAL = "tarragonlug-response-seal: s\r\n";

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(15);

    private StreamBytes() {}

    static String event(int number) {
        return "id: " + number + "\ndata: part " + number + "\n\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String chunkedHead(String requestId) {
        return "HTTP/1.1 200 OK\r\ntarragonlug-request-id: "
                + requestId
                + "\r\n"
                + SEAL
                + "transfer-encoding: chunked\r\n\r\n";
    }

    static String unframedHead(String requestId) {
        return "HTTP/1.1 200 OK\r\ntarragonlug-request-id: " + requestId + "\r\n" + SEAL + "\r\n";
    }

    /**
     * Sends the request {@code r1} and returns all bytes until the gateway ends the connection.
     *
     * @param port the gateway's port for callers
     */
    static String receive(int port, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
            String request =
                    "POST "
                            + path
                            + " HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n"
                            + "tarragonlug-request-id: r1\r\ntarragonlug-deadline-ms: 5000\r\n"
                            + "tarragonlug-model: m1\r\ncontent-length: 1\r\n\r\nx";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[4096];
            try {
                for (int count = socket.getInputStream().read(buffer);
                        count >= 0;
                        count = socket.getInputStream().read(buffer)) {
                    received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                }
            } catch (SocketException reset) {
                received.append("(reset)");
            }
            return received.toString();
        }
    }
}
