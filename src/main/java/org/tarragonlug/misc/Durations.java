package org.tarragonlug.misc;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of durations in settings and tables: a whole number with ms, s, m or h. */
public final class Durations {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(ms|s|m|h)");

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text such as {@code 500ms} or {@code 30s}
     * @return the duration; empty if the text has another form
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
     * Writes a duration.
     *
     * @param duration whole milliseconds; anything finer is cut off
     * @return whole seconds with s, anything else with ms
     */
    public static String text(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 1000 != 0 || millis == 0) {
            return millis + "ms";
        }
        return millis / 1000 + "s";
    }
}
