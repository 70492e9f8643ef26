package org.tarragonlug.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into the data of server-sent events. Lines are split as bytes, so that a
 * character cut between two parts is decoded whole.
 */
final class ServerSentEventParser {
    /** A token event has some hundred bytes; more than this is no event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;

    /**
     * Adds bytes.
     *
     * @param part the next bytes
     * @return data of the events that are now whole
     * @throws IllegalArgumentException for an event that is too large
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
        if (line.size() + data.length() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("an event exceeds " + MAX_EVENT_BYTES);
        }
        return events;
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
