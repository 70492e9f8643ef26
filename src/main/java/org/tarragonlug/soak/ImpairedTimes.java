package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The times in which something was impaired, by one cause or several at once. Times are
 * milliseconds of one clock.
 */
final class ImpairedTimes {
    private record Span(long beginMillis, long endMillis) {}

    private final List<Span> ended = new ArrayList<>();
    private int causes;
    private long beginMillis;

    /** Records that a cause begins or ends. */
    void change(boolean begins, long millis) {
        if (begins && causes == 0) {
            beginMillis = millis;
        }
        causes += begins ? 1 : -1;
        if (causes == 0) {
            ended.add(new Span(beginMillis, millis));
        }
    }

    /** Returns whether there was a cause at any moment of a time, both ends included. */
    boolean overlap(long fromMillis, long toMillis) {
        boolean present = causes > 0 && beginMillis <= toMillis;
        return present
                || ended.stream()
                        .anyMatch(
                                span ->
                                        span.beginMillis() <= toMillis
                                                && span.endMillis() >= fromMillis);
    }
}
