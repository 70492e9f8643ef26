package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A connection of a client to a gateway. */
final class Client implements AutoCloseable {
    /** A complete answer. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
        socket.setTcpNoDelay(true);
        in = new java.io.BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) {
            head.append("content-length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads a complete answer; fails if the connection ends before its end. */
    Answer readAnswer(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Message head = Message.readHead(in);
        if (head == null) {
            throw new IOException("the connection was closed without an answer");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(head.readBody(in));
        return new Answer(head.status(), head.headers, body.toString(StandardCharsets.UTF_8));
    }

    /** Reads an answer in chunks as it arrives; returns how it ended. */
    String readStream(int timeoutMillis, StringBuilder received) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Message head = Message.readHead(in);
        if (head == null) {
            throw new IOException("the connection was closed without an answer");
        }
        if (!head.headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            received.append(new String(head.readBody(in), StandardCharsets.ISO_8859_1));
            return "status " + head.status();
        }
        for (byte[] chunk = Message.readChunk(in); chunk.length > 0; chunk = Message.readChunk(in)) {
            received.append(new String(chunk, StandardCharsets.ISO_8859_1));
        }
        return "status " + head.status() + " complete";
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with the connection.
        }
    }
}
