package org.tarragonlug.platform;

import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.NoticeFault;
import org.tarragonlug.decision.forwarding.ReportedLoad;

/**
 * Decodes the load that a server states in the head of an answer: running requests, waiting
 * requests, slots and, if the server states it, the pace, separated by commas.
 *
 * <p>A load that cannot be read counts as not stated; the load of the server is then estimated from
 * the requests in flight there. An odd pace does not invalidate the numbers before it.
 */
final class ServerLoadDecoder {
    /** Slowest pace that is believed, in percent: a hundred times the usual time. */
    private static final int MAX_PACE = 10_000;

    private static final int PARTS_WITHOUT_PACE = 3;
    private static final int PARTS_WITH_PACE = 4;

    /** Longest number of digits that always fits an int. */
    private static final int MAX_DIGITS = 9;

    private static final int UNREADABLE = -1;

    private static final Decoded ABSENT = new Decoded(Optional.empty(), Set.of());

    private ServerLoadDecoder() {}

    /**
     * A decoded load.
     *
     * @param load the load; empty if absent or unreadable
     * @param faults what of it could not be taken as it was stated
     */
    record Decoded(Optional<ReportedLoad> load, Set<NoticeFault> faults) {}

    /**
     * Decodes the load of an answer.
     *
     * @param text value of the header; null if absent
     */
    static Decoded decode(String text) {
        if (text == null) {
            return ABSENT;
        }
        String[] parts = text.split(",", -1);
        if (parts.length != PARTS_WITHOUT_PACE && parts.length != PARTS_WITH_PACE) {
            return unreadable();
        }
        int running = number(parts[0]);
        int waiting = number(parts[1]);
        int slots = number(parts[2]);
        if (running < 0 || waiting < 0 || slots < 0) {
            return unreadable();
        }
        if (parts.length == PARTS_WITHOUT_PACE) {
            return new Decoded(Optional.of(new ReportedLoad(running, waiting, slots)), Set.of());
        }
        return withPace(running, waiting, slots, parts[PARTS_WITHOUT_PACE].trim());
    }

    private static Decoded unreadable() {
        return new Decoded(Optional.empty(), Set.of(NoticeFault.LOAD_UNREADABLE));
    }

    private static Decoded withPace(int running, int waiting, int slots, String text) {
        if (!isDigits(text) || isZero(text)) {
            return new Decoded(
                    Optional.of(new ReportedLoad(running, waiting, slots)),
                    Set.of(NoticeFault.PACE_UNREADABLE));
        }
        int pace = number(text);
        boolean tooLarge = pace == UNREADABLE || pace > MAX_PACE;
        return new Decoded(
                Optional.of(new ReportedLoad(running, waiting, slots, tooLarge ? MAX_PACE : pace)),
                tooLarge ? Set.of(NoticeFault.PACE_TOO_LARGE) : Set.of());
    }

    /** Returns the number; {@link #UNREADABLE} if the text is none or has too many digits. */
    private static int number(String text) {
        String trimmed = text.trim();
        boolean readable = isDigits(trimmed) && trimmed.length() <= MAX_DIGITS;
        return readable ? Integer.parseInt(trimmed) : UNREADABLE;
    }

    private static boolean isDigits(String text) {
        for (int index = 0; index < text.length(); index++) {
            if (text.charAt(index) < '0' || text.charAt(index) > '9') {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isZero(String digits) {
        return digits.chars().allMatch(digit -> digit == '0');
    }
}
