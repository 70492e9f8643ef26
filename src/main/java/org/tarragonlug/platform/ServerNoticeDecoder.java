package org.tarragonlug.platform;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.tarragonlug.decision.forwarding.NoticeFault;
import org.tarragonlug.decision.forwarding.ServerNotice;

/**
 * Decodes what a server says about itself in the head of an answer.
 *
 * <p>A server in trouble may send anything here, and its word keeps requests away from it. What
 * cannot be read therefore counts as not said, and no pause is longer than {@link #MAX_PAUSE}.
 */
final class ServerNoticeDecoder {
    private static final String LEAVING = "server-leaving";
    private static final String RETRY_AFTER = "retry-after";
    private static final String IS_LEAVING = "1";
    private static final String IS_STAYING = "0";
    private static final int UNAVAILABLE = 503;

    /** Longest pause that is believed; a server does not know what it wants in an hour. */
    private static final Duration MAX_PAUSE = Duration.ofHours(1);

    /**
     * Seconds, which may have a fraction. HTTP also allows a date, which these servers do not send.
     */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,30}(\\.\\d{1,30})?");

    private static final double MILLIS_PER_SECOND = 1000;

    private ServerNoticeDecoder() {}

    /**
     * Decodes the notice of an answer.
     *
     * @param status HTTP status; a pause counts only beside 503
     * @param headers headers of the answer, names in lower case
     */
    static ServerNotice decode(int status, Map<String, String> headers) {
        String leaving = headers.get(LEAVING);
        String retryAfter = status == UNAVAILABLE ? headers.get(RETRY_AFTER) : null;
        if (leaving == null && retryAfter == null) {
            return ServerNotice.NONE;
        }
        Set<NoticeFault> faults = EnumSet.noneOf(NoticeFault.class);
        boolean isLeaving = leaving != null && isLeaving(leaving.trim(), faults);
        Optional<Duration> pause =
                retryAfter == null ? Optional.empty() : pause(retryAfter.trim(), faults);
        return new ServerNotice(isLeaving, pause, faults);
    }

    private static boolean isLeaving(String text, Set<NoticeFault> faults) {
        if (!text.equals(IS_LEAVING) && !text.equals(IS_STAYING)) {
            faults.add(NoticeFault.LEAVING_UNKNOWN);
        }
        return text.equals(IS_LEAVING);
    }

    private static Optional<Duration> pause(String text, Set<NoticeFault> faults) {
        if (!SECONDS.matcher(text).matches()) {
            faults.add(NoticeFault.PAUSE_UNREADABLE);
            return Optional.empty();
        }
        double millis = Math.ceil(Double.parseDouble(text) * MILLIS_PER_SECOND);
        if (millis > MAX_PAUSE.toMillis()) {
            faults.add(NoticeFault.PAUSE_TOO_LONG);
            return Optional.of(MAX_PAUSE);
        }
        return Optional.of(Duration.ofMillis((long) millis)).filter(pause -> !pause.isZero());
    }
}
