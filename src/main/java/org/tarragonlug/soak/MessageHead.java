package org.tarragonlug.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The head of an HTTP message, read byte by byte, so that nothing behind it is consumed.
 *
 * @param startLine request line or status line
 * @param headers headers, names in lower case
 */
record MessageHead(String startLine, Map<String, String> headers) {
    /**
     * Reads a head.
     *
     * @throws IOException if the connection ends before the head does
     */
    static MessageHead read(InputStream input) throws IOException {
        String startLine = readLine(input);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            String[] parts = line.split(": ?", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts.length > 1 ? parts[1] : "");
        }
        return new MessageHead(startLine, headers);
    }

    /** Reads a line and returns it without its end. */
    static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** Returns a header; empty text if it is absent. */
    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Returns a part of the start line, which spaces separate. */
    String startPart(int index) {
        String[] parts = startLine.split(" ");
        return index < parts.length ? parts[index] : "";
    }
}
