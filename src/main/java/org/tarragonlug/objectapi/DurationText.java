package org.tarragonlug.objectapi;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durations as text of the tables: a whole number and a unit, such as {@code 500ms} or {@code 30s}.
 */
public final class DurationText {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,12})(ms|s|m|h)");

    private DurationText() {}

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is no duration
     */
    public static Duration parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "'" + text + "' is no duration such as 500ms or 30s");
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            default -> Duration.ofHours(number);
        };
    }

    /** Returns the text form with the largest unit that needs no fraction. */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis % Duration.ofHours(1).toMillis() == 0 && millis != 0) {
            return duration.toHours() + "h";
        }
        if (millis % Duration.ofMinutes(1).toMillis() == 0 && millis != 0) {
            return duration.toMinutes() + "m";
        }
        if (millis % Duration.ofSeconds(1).toMillis() == 0) {
            return duration.toSeconds() + "s";
        }
        return millis + "ms";
    }
}
