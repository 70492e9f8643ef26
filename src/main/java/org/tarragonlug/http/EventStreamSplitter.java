package org.tarragonlug.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a {@code text/event-stream} into complete events without changing them.
 *
 * <p>An event ends with an empty line. Bytes after the last empty line are held back until their
 * event is complete. A stream that breaks in the middle of an event therefore never delivers a part
 * of this event.
 */
public final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    /**
     * One complete event.
     *
     * @param bytes the bytes as received, including the empty line at the end
     * @param id numeric id of the event; -1 if the event has no id or its id is not a number
     */
    public record Event(byte[] bytes, long id) {}

    private final ByteArrayOutputStream pendingBytes = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** Adds received bytes and returns the events that are complete after them. */
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

    /** Returns the number of bytes after the last complete event. */
    public int pendingBytes() {
        return pendingBytes.size();
    }

    /** Tells whether bytes of an event have been received without its end. */
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
                    // Events cannot be ordered by an id that is not a number, so it is treated as
                    // absent.
                    return -1;
                }
            }
        }
        return -1;
    }
}
