import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** Sends single requests, each on a connection of its own. */
final class Caller {
    private static final int CONNECT_MILLIS = 1000;

    /**
     * What came back.
     *
     * @param status 0 if there was no answer
     * @param complete whether the answer is whole
     */
    record Answer(int status, byte[] body, boolean complete) {
        private static final Answer NONE = new Answer(0, new byte[0], false);
    }

    private Caller() {}

    static Answer get(int port, String target) {
        return send(port, "GET", target, Map.of("Host", "localhost"), new byte[0], 2000);
    }

    static Answer send(
            int port,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            int timeoutMillis) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        if (body.length > 0) {
            all.put("Content-Length", Integer.toString(body.length));
        }
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
            socket.setSoTimeout(timeoutMillis);
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(HttpMessage.head(method + " " + target + " HTTP/1.1", all));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failed) {
            return Answer.NONE;
        }
    }

    private static Answer read(InputStream in) throws IOException {
        HttpMessage head = HttpMessage.readHead(in);
        if (head == null) {
            return Answer.NONE;
        }
        int status = Integer.parseInt(head.word(1));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (head.headers().containsKey("transfer-encoding")) {
                byte[] chunk = HttpMessage.readChunk(in);
                while (chunk.length > 0) {
                    body.writeBytes(chunk);
                    chunk = HttpMessage.readChunk(in);
                }
                return new Answer(status, body.toByteArray(), true);
            }
            int length = Integer.parseInt(head.header("content-length", "0"));
            body.writeBytes(in.readNBytes(length));
            return new Answer(status, body.toByteArray(), body.size() == length);
        } catch (IOException brokenOff) {
            return new Answer(status, body.toByteArray(), false);
        }
    }
}
