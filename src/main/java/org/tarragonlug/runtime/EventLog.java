package org.tarragonlug.runtime;

import org.jboss.logging.Logger;

/**
 * Writes one line of {@code key=value} pairs for each event.
 *
 * <p>Values with white space, quotes, equals signs, backslashes or non-printable characters are
 * quoted and escaped. A value can therefore neither forge a pair or a line nor reorder the text
 * that a viewer shows. Values are truncated to 500 characters. Request bodies, keys and secrets are
 * never logged.
 */
public final class EventLog {
    private static final int MAXIMUM_VALUE_LENGTH = 500;
    private static final String TRUNCATION_MARK = "...";

    /** Name of the logger of lines that are dropped only after all ordinary ones. */
    static final String RETAINED_LOGGER = "tarragonlug.retained";

    private final Logger logger;
    private final Logger retainedLogger;
    private final String instance;

    /**
     * Creates the event log of an instance.
     *
     * @param instance the instance's id, which each line contains
     */
    public EventLog(String instance) {
        this.logger = Logger.getLogger("tarragonlug");
        this.retainedLogger = Logger.getLogger(RETAINED_LOGGER);
        this.instance = instance;
    }

    /** Starts the line of an event; the line is written by {@link Line#write()}. */
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

    /** Returns whether a viewer may break the line at this character or reorder the text by it. */
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

    /** A log line under construction. */
    public final class Line {
        private final LogEvent event;
        private final StringBuilder text = new StringBuilder(128);

        private Line(LogEvent event) {
            this.event = event;
            text.append("event=").append(event.eventName());
            with("instance", instance);
        }

        /**
         * Adds a {@code key=value} pair.
         *
         * @param key lower case with underscores
         * @param value any value; its string form is quoted and escaped where needed
         * @return this
         */
        public Line with(String key, Object value) {
            text.append(' ').append(key).append('=');
            appendValue(text, String.valueOf(value));
            return this;
        }

        /**
         * Adds an exception as {@code failure} and the top frame of its stack trace as {@code at}.
         *
         * @param thrown the exception
         * @return this
         */
        public Line withFailure(Throwable thrown) {
            with("failure", thrown);
            StackTraceElement[] trace = thrown.getStackTrace();
            return trace.length == 0 ? this : with("at", trace[0]);
        }

        /** Writes the line at the event's level. */
        public void write() {
            logger.log(event.level(), text);
        }

        /**
         * Writes the line at the event's level. If lines have to be dropped, it is dropped only
         * after all ordinary ones, because it tells the cause of a failure.
         */
        public void writeRetained() {
            retainedLogger.log(event.level(), text);
        }

        @Override
        public String toString() {
            return text.toString();
        }
    }
}
