package org.tarragonlug.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of a {@code text/event-stream} into complete events without changing them.
 *
 * <p>An event ends with an empty line. Bytes after the last empty line are held back until their
 * event is complete. A stream that breaks in the middle of an event therefore never delivers a part
 * of this event.
 *
 * <p>Any bytes contain empty lines now and then, so an empty line alone does not show that the
 * bytes before it are an event. An event counts as numbered only if it is UTF-8 text, each of its
 * lines is a field or a comment, and its id is a number. The users of this class must not rely on
 * bytes that lack one of these.
 */
public final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    /**
     * What stands between two empty lines.
     *
     * @param bytes the bytes as received, including the empty line at the end
     * @param id numeric id of the event; empty if the event has none or the bytes are no event
     */
    public record Event(byte[] bytes, OptionalLong id) {}

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

    private static OptionalLong parseId(byte[] bytes) {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException noText) {
            // The standard of this format requires UTF-8, so the bytes are no event.
            return OptionalLong.empty();
        }
        OptionalLong id = OptionalLong.empty();
        for (String line : text.split("\n")) {
            if (!isFieldOrComment(line)) {
                return OptionalLong.empty();
            }
            if (line.startsWith(ID_FIELD)) {
                id = parseNumber(line.substring(ID_FIELD.length()).trim());
            }
        }
        return id;
    }

    /** Tells whether a line is empty or consists of a name, which may be empty, and a value. */
    private static boolean isFieldOrComment(String line) {
        for (int index = 0; index < line.length(); index++) {
            char next = line.charAt(index);
            if (next == ':') {
                return true;
            }
            if (!Character.isLetterOrDigit(next) && next != '-' && next != '_') {
                return line.equals("\r");
            }
        }
        return line.isEmpty();
    }

    private static OptionalLong parseNumber(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException notNumeric) {
            // Events cannot be ordered by an id that is not a number, so it is treated as absent.
            return OptionalLong.empty();
        }
    }
}
