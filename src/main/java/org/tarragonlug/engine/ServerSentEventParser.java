package org.tarragonlug.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Extracts the data of server-sent events from a byte stream. The stream is split into lines before
 * it is decoded, so that a character whose bytes are divided between two parts is decoded
 * correctly.
 */
final class ServerSentEventParser {
    /** A token event has a few hundred bytes, so more than this is not a valid event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;

    /**
     * Adds received bytes.
     *
     * @param part the next bytes of the stream
     * @return data of the events that are complete after these bytes
     * @throws IllegalArgumentException if an event is too large
     */
    List<String> add(byte[] part) {
        List<String> events = new ArrayList<>();
        for (byte value : part) {
            if (value == '\n') {
                endLine(events);
            } else {
                line.write(value);
            }
        }
        if (pendingBytes() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Returns the bytes of incomplete events. */
    int pendingBytes() {
        return line.size() + data.length();
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            if (hasData) {
                events.add(data.toString());
            }
            data.setLength(0);
            hasData = false;
        } else if (text.startsWith("data:")) {
            if (hasData) {
                data.append('\n');
            }
            data.append(text.startsWith("data: ") ? text.substring(6) : text.substring(5));
            hasData = true;
        }
    }
}
