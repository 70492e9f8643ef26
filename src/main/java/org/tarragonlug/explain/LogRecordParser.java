package org.tarragonlug.explain;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the lines of one log, in their order. A line that is cut short keeps the pairs that are
 * complete; a line without an event, such as a stack trace, is not a record.
 */
final class LogRecordParser {
    /** Text in quotes; without nested repetitions, whose depth grows with the text. */
    private static final String QUOTED = "\"([^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+)\"";

    private static final Pattern PAIR =
            Pattern.compile("(?<=^|\\s)([a-z_]+)=(" + QUOTED + "|[^\"\\s]\\S*)(?=\\s|$)");
    private static final Pattern ESCAPE = Pattern.compile("\\\\(u([0-9a-f]{4})|n|.)");

    private static final int HEXADECIMAL = 16;

    private Instant lastTime = Instant.EPOCH;

    /** Parses a line; empty if it is no record. */
    Optional<LogRecord> parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher pairs = PAIR.matcher(line);
        while (pairs.find()) {
            String quoted = pairs.group(3);
            fields.putIfAbsent(pairs.group(1), quoted == null ? pairs.group(2) : unescape(quoted));
        }
        String event = fields.remove("event");
        if (event == null) {
            return Optional.empty();
        }
        lastTime = time(fields.remove("time"));
        return Optional.of(new LogRecord(lastTime, event, fields, line.strip()));
    }

    private Instant time(String text) {
        if (text == null) {
            return lastTime;
        }
        try {
            return Instant.parse(text);
        } catch (DateTimeException unreadable) {
            return lastTime;
        }
    }

    private static String unescape(String text) {
        return ESCAPE.matcher(text)
                .replaceAll(escape -> Matcher.quoteReplacement(character(escape.group(1))));
    }

    private static String character(String escaped) {
        if (escaped.equals("n")) {
            return "\n";
        }
        return escaped.length() == 1
                ? escaped
                : Character.toString(Integer.parseInt(escaped.substring(1), HEXADECIMAL));
    }
}
