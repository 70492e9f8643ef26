package org.tarragonlug.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.platform.RequestHeaders;

/** A connection of a caller to a gateway, for one request at a time. */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1000;

    private final Socket socket = new Socket();
    private final InputStream input;

    /**
     * Connects.
     *
     * @throws IOException if nobody listens
     */
    CallerConnection(InetSocketAddress address) throws IOException {
        try {
            socket.connect(address, CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream());
        } catch (IOException unreachable) {
            socket.close();
            throw unreachable;
        }
    }

    /** Returns the number of bytes that have arrived without a request. */
    int unaskedBytes() throws IOException {
        return input.available();
    }

    private static String header(String name, String value) {
        return name + ": " + value + "\r\n";
    }

    /** Sends a request. */
    void send(RequestId id, CallerRequest request) throws IOException {
        RequestKind kind = request.kind();
        int bodyBytes = request.bodyBytes();
        String model =
                kind.isStreaming()
                        ? header(RequestHeaders.MODEL, request.model())
                                + header(RequestHeaders.TOKEN_COUNT, "10,10")
                        : "";
        String head =
                "POST "
                        + kind.path(request.version())
                        + id
                        + " HTTP/1.1\r\n"
                        + header("host", "127.0.0.1")
                        + header(RequestHeaders.REQUEST_ID, id.value())
                        + header(RequestHeaders.DEADLINE, Long.toString(kind.deadlineMillis()))
                        + model
                        + request.key()
                                .map(key -> header("authorization", "Token " + key))
                                .orElse("")
                        + header("content-length", Integer.toString(bodyBytes))
                        + "\r\n";
        String message = head + "b".repeat(bodyBytes);
        socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Receives an answer.
     *
     * @param waitMillis how long to wait for its next byte
     * @return the answer; not complete if the connection ends within its body
     * @throws SocketTimeoutException if its head does not come
     * @throws IOException if the connection ends before the body
     */
    CallerAnswer receive(long waitMillis) throws IOException {
        socket.setSoTimeout((int) waitMillis);
        MessageHead head = MessageHead.read(input);
        int status = Integer.parseInt(head.startPart(1));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            MessageBody.read(head, true, input, body);
        } catch (IOException | NumberFormatException broken) {
            complete = false;
        }
        String text = body.toString(StandardCharsets.ISO_8859_1);
        return new CallerAnswer(status, head.headers(), text, complete);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
