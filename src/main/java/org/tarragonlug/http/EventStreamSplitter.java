package org.tarragonlug.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a {@code text/event-stream} into whole events without changing them.
 *
 * <p>An event ends with an empty line. Bytes after the last one are an event that has not ended, so
 * that a stream that breaks in the middle of an event never shows a part of it.
 */
public final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    /**
     * One whole event.
     *
     * @param bytes as received, with the empty line at its end
     * @param id its id; negative if it has none
     */
    public record Event(byte[] bytes, long id) {}

    private final ByteArrayOutputStream pendingBytes = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** Adds received bytes and returns the events that they complete. */
    public List<Event> add(byte[] part) {
        List<Event> events = new ArrayList<>();
        for (byte each : part) {
            pendingBytes.write(each);
            if (each != '\n') {
                lineEmpty = lineEmpty && each == '\r';
                continue;
            }
            if (lineEmpty && pendingBytes.size() > 2) {
                byte[] bytes = pendingBytes.toByteArray();
                pendingBytes.reset();
                events.add(new Event(bytes, parseId(bytes)));
            }
            lineEmpty = true;
        }
        return events;
    }

    /** Tells whether an event has begun and not ended. */
    public boolean hasIncompleteEvent() {
        return pendingBytes.size() > 0;
    }

    private static long parseId(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return Long.parseLong(line.substring(ID_FIELD.length()).trim());
                } catch (NumberFormatException notNumeric) {
                    // An id that is no number can not order events; it counts as none.
                    return -1;
                }
            }
        }
        return -1;
    }
}
