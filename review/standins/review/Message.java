package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP/1.1 message read from a connection; header names are in lower case. */
final class Message {
    final String startLine;
    final Map<String, String> headers;

    private Message(String startLine, Map<String, String> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Message(start, headers);
    }

    static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (each != '\r') {
                line.write(each);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body of a message with a length or in chunks; no other body is expected. */
    byte[] readBody(InputStream in) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            return body.toByteArray();
        }
        return readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    /** Reads one chunk; an empty one ends the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        int length = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        byte[] chunk = readExactly(in, length);
        readLine(in, false);
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    static byte[] response(int status, Map<String, String> headers, String body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        head.append("content-length: ").append(bytes.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(bytes);
        return all.toByteArray();
    }
}
