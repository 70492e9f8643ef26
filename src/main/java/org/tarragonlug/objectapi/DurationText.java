package org.tarragonlug.objectapi;

import java.time.Duration;
import org.tarragonlug.misc.Durations;

/**
 * Converts durations to and from the text form used in tables: a whole number and a unit, such as
 * {@code 500ms} or {@code 30s}.
 */
public final class DurationText {
    private DurationText() {}

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is not a valid duration
     */
    public static Duration parse(String text) {
        return Durations.parse(text)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "'" + text + "' is not a duration such as 500ms or 30s"));
    }

    /** Returns the text form, in the largest unit that gives a whole number. */
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
