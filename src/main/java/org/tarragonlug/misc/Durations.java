package org.tarragonlug.misc;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Converts durations to and from their text form in settings and tables: an integer followed by ms,
 * s, m or h.
 */
public final class Durations {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(ms|s|m|h)");

    private Durations() {}

    /**
     * Parses the text form of a duration.
     *
     * @param text the text, for example {@code 500ms} or {@code 30s}
     * @return the duration; empty if the text does not have this form
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long number = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(number);
                    case "s" -> Duration.ofSeconds(number);
                    case "m" -> Duration.ofMinutes(number);
                    default -> Duration.ofHours(number);
                });
    }

    /**
     * Returns the text form of a duration.
     *
     * @param duration the duration; truncated to milliseconds
     * @return the duration in seconds with {@code s} if it is a non-zero multiple of one second,
     *     otherwise in milliseconds with {@code ms}
     */
    public static String text(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 1000 != 0 || millis == 0) {
            return millis + "ms";
        }
        return millis / 1000 + "s";
    }
}
