package org.tarragonlug.explain;

import java.time.Instant;
import java.util.Map;

/**
 * A line of a log.
 *
 * @param time when it was written; that of the line before it if it states none
 * @param event name of the event
 * @param fields values by key, in their order
 * @param text the line
 */
record LogRecord(Instant time, String event, Map<String, String> fields, String text) {
    /** Returns a value; empty text if the line has none. */
    String field(String key) {
        return fields.getOrDefault(key, "");
    }

    boolean is(String name) {
        return event.equals(name);
    }

    /** Returns the name of the instance that wrote the line. */
    String instance() {
        return field("instance");
    }

    /** Returns the HTTP status that the line states; 0 if it states none. */
    int status() {
        return field("status").matches("\\d{3}") ? Integer.parseInt(field("status")) : 0;
    }
}
