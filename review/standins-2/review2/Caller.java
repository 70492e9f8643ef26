package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Sends requests as a client does, each on a new connection. */
final class Caller {
    /** An answer; status 0 if there was none. */
    record Answer(int status, Map<String, String> headers, String body, boolean complete) {
        boolean isSealed() {
            return headers.containsKey("tarragonlug-response-seal");
        }
    }

    private Caller() {}

    static Answer send(
            Gateway gateway,
            String method,
            String path,
            String id,
            int deadlineMillis,
            Map<String, String> more) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        head.append("Host: shop.example\r\n");
        head.append("Tarragonlug-Request-Id: " + id + "\r\n");
        head.append("Tarragonlug-Deadline-Ms: " + deadlineMillis + "\r\n");
        more.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (method.equals("POST")) {
            head.append("Content-Length: 2\r\n\r\nhi");
        } else {
            head.append("\r\n");
        }
        int status = 0;
        Map<String, String> headers = Map.of();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.callerPort), 1000);
            socket.setSoTimeout(deadlineMillis + 500);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String first = HttpNode.line(input);
            if (first == null) {
                return new Answer(0, headers, "", false);
            }
            status = Integer.parseInt(first.split(" ")[1]);
            headers = HttpNode.headers(input);
            byte[] body = HttpNode.body(input, headers);
            return new Answer(status, headers, new String(body, StandardCharsets.UTF_8), true);
        } catch (IOException broken) {
            return new Answer(status, headers, "", false);
        }
    }
}
