import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One HTTP/1.1 message, read from or written to a socket.
 *
 * @param startLine request line or status line
 * @param headers headers with names in lower case
 * @param body the body, without chunk sizes
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    private static final int HEXADECIMAL = 16;

    /** Reads a message; null if the connection ends before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        HttpMessage head = readHead(in);
        return head == null ? null : new HttpMessage(head.startLine, head.headers, head.readBody(in));
    }

    /** Reads start line and headers; null if the connection ends before the first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return new HttpMessage(startLine, headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).trim());
        }
    }

    private byte[] readBody(InputStream in) throws IOException {
        if (!headers.containsKey("transfer-encoding")) {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the connection ended within a body");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
            body.writeBytes(chunk);
        }
        return body.toByteArray();
    }

    /** Reads a chunk and the line end behind it; the last chunk is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended within a chunked body");
        }
        int length = Integer.parseInt(size.trim(), HEXADECIMAL);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || readLine(in) == null) {
            throw new EOFException("the connection ended within a chunk");
        }
        return chunk;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    /** Returns the first word of a request line, or the second of a status line, by index. */
    String word(int index) {
        return startLine.split(" ")[index];
    }

    String header(String name, String absent) {
        return headers.getOrDefault(name, absent);
    }

    /** Writes an answer with a length. */
    static void writeAnswer(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head("HTTP/1.1 " + status + " Status", all));
        message.writeBytes(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static byte[] head(String startLine, Map<String, String> headers) {
        StringBuilder text = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a chunk of a chunked body; an empty one ends the body. */
    static byte[] chunk(byte[] content) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        String size = Integer.toHexString(content.length) + "\r\n";
        chunk.writeBytes(size.getBytes(StandardCharsets.ISO_8859_1));
        chunk.writeBytes(content);
        chunk.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return chunk.toByteArray();
    }
}
