package org.tarragonlug.runtime;

import org.jboss.logging.Logger;

/**
 * Writes one line of {@code key=value} pairs for each event.
 *
 * <p>Values with white space, quotes, equals signs or characters that are not printed are quoted
 * and escaped, so that a value can neither forge a pair nor a line, and none reorders what a reader
 * sees. Values are cut at 500 characters. Request bodies, keys and secrets are never logged.
 */
public final class EventLog {
    private static final int MAXIMUM_VALUE_LENGTH = 500;
    private static final String TRUNCATION_MARK = "...";

    private final Logger logger;
    private final String instance;

    /**
     * Creates the log of an instance.
     *
     * @param instance named in each line
     */
    public EventLog(String instance) {
        this.logger = Logger.getLogger("tarragonlug");
        this.instance = instance;
    }

    /** Begins the line of an event. */
    public Line event(LogEvent event) {
        return new Line(event);
    }

    private static void appendValue(StringBuilder line, String value) {
        String truncated =
                value.length() > MAXIMUM_VALUE_LENGTH
                        ? value.substring(0, MAXIMUM_VALUE_LENGTH) + TRUNCATION_MARK
                        : value;
        if (isSafeUnquoted(truncated)) {
            line.append(truncated);
            return;
        }
        line.append('"');
        for (int index = 0; index < truncated.length(); index++) {
            appendEscaped(line, truncated.charAt(index));
        }
        line.append('"');
    }

    private static void appendEscaped(StringBuilder line, char character) {
        if (character == '"' || character == '\\') {
            line.append('\\').append(character);
        } else if (character == '\n') {
            line.append("\\n");
        } else if (isNonPrintable(character)) {
            line.append(String.format("\\u%04x", (int) character));
        } else {
            line.append(character);
        }
    }

    /** Some viewers break lines at these characters or let them reorder the text. */
    private static boolean isNonPrintable(char character) {
        return switch (Character.getType(character)) {
            case Character.CONTROL,
                    Character.FORMAT,
                    Character.LINE_SEPARATOR,
                    Character.PARAGRAPH_SEPARATOR,
                    Character.SURROGATE ->
                    true;
            default -> false;
        };
    }

    private static boolean isSafeUnquoted(String value) {
        if (value.isEmpty()) {
            return false;
        }
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            boolean special = character == '"' || character == '=' || character == '\\';
            if (special || Character.isSpaceChar(character) || isNonPrintable(character)) {
                return false;
            }
        }
        return true;
    }

    /** One line being put together. */
    public final class Line {
        private final LogEvent event;
        private final StringBuilder text = new StringBuilder(128);

        private Line(LogEvent event) {
            this.event = event;
            text.append("event=").append(event.eventName());
            with("instance", instance);
        }

        /**
         * Adds a pair.
         *
         * @param key lower case with underscores
         * @param value any value; its text form is used
         * @return this
         */
        public Line with(String key, Object value) {
            text.append(' ').append(key).append('=');
            appendValue(text, String.valueOf(value));
            return this;
        }

        /**
         * Adds what was thrown and the place in the program that threw it.
         *
         * @param thrown the failure
         * @return this
         */
        public Line withFailure(Throwable thrown) {
            with("failure", thrown);
            StackTraceElement[] trace = thrown.getStackTrace();
            return trace.length == 0 ? this : with("at", trace[0]);
        }

        /** Writes the line. */
        public void write() {
            logger.log(event.level(), text);
        }

        @Override
        public String toString() {
            return text.toString();
        }
    }
}
