package org.tarragonlug.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Finds the head of a second answer to the same call within the body of the first one.
 *
 * <p>A server that stops in the middle of a body may send its answer again from the beginning. The
 * head and the beginning of the second answer then fill up the first body, which ends with the
 * right length. Such a head is a status line and, before the next empty line, the header that names
 * the call. The name can not be guessed, so a body that quotes other answers contains none.
 *
 * <p>The body may end within such a head, even after its first character. Then the bytes after the
 * body decide: a second answer is longer than what was missing of the first one, so its head goes
 * on there. Bytes that do not continue a head that began in the body show that the body is whole.
 *
 * <p>The bytes may come in parts of any length; only the position within the head is kept.
 */
final class SecondHeadFinder {
    /** The beginning of a status line; {@code #} stands for a digit. */
    private static final byte[] STATUS_LINE = "HTTP/1.# ###".getBytes(StandardCharsets.US_ASCII);

    private static final byte ANY_DIGIT = '#';
    private static final int MISMATCH = -1;

    /** Longest rest of a status line, in bytes; reasons are a few words. */
    private static final int MAX_STATUS_LINE_REST = 64;

    /** Header name, colon and value. */
    private final byte[] nameLine;

    private final int valueStart;
    private int matchedStatusLine;
    private boolean inHead;
    private boolean inStatusLine;
    private int statusLineRest;
    private boolean inHeaderName;
    private boolean lineEmpty;
    private int matchedNameLine;
    private int headStart;
    private boolean bodyEnded;
    private boolean found;

    SecondHeadFinder(AnswerName name) {
        String header = name.header().toLowerCase(Locale.ROOT) + ':';
        nameLine = (header + name.value()).getBytes(StandardCharsets.ISO_8859_1);
        valueStart = header.length();
    }

    /**
     * Adds bytes of the body, or bytes after its end.
     *
     * @return whether a head has been found that names the call
     */
    boolean add(byte[] part) {
        headStart = 0;
        for (int index = 0; index < part.length && !found; index++) {
            if (isOpen() || mayBegin(part[index])) {
                follow(part[index]);
                headStart = matchedStatusLine == 1 && !inHead ? index : headStart;
            }
        }
        return found;
    }

    /** Returns how many bytes of the last part stand before the head that was found. */
    int bytesBeforeHead() {
        return headStart;
    }

    /** Records that the body has ended. Only a head that is open now is followed any further. */
    void endBody() {
        bodyEnded = true;
    }

    /** Returns whether the bytes so far end within what may be the head of a second answer. */
    boolean isOpen() {
        return matchedStatusLine > 0 || inHead;
    }

    /**
     * Returns how many of the last bytes agree with the beginning of a head, as far as that is the
     * same in all heads. The more they are, the less likely they stand there by chance.
     */
    int agreeingBytes() {
        return inHead ? STATUS_LINE.length : matchedStatusLine;
    }

    private boolean mayBegin(byte next) {
        return next == STATUS_LINE[0] && !bodyEnded;
    }

    private void follow(byte next) {
        if (inHead) {
            followHead(next);
        }
        followStatusLine(next);
    }

    /** A head may begin within another one that breaks off, so this is followed everywhere. */
    private void followStatusLine(byte next) {
        if (matchesStatusLine(next)) {
            matchedStatusLine++;
        } else {
            matchedStatusLine = mayBegin(next) ? 1 : 0;
        }
        if (matchedStatusLine == STATUS_LINE.length) {
            matchedStatusLine = 0;
            inHead = true;
            inStatusLine = true;
            statusLineRest = 0;
            lineEmpty = false;
            matchedNameLine = MISMATCH;
        }
    }

    private boolean matchesStatusLine(byte next) {
        byte expected = STATUS_LINE[matchedStatusLine];
        return expected == ANY_DIGIT ? next >= '0' && next <= '9' : next == expected;
    }

    /** Follows a head until it turns out to be none, as where a body quotes a status line. */
    private void followHead(byte next) {
        if (next == '\n') {
            endLine();
            return;
        }
        lineEmpty = lineEmpty && next == '\r';
        if (inStatusLine) {
            statusLineRest++;
            inHead = statusLineRest <= MAX_STATUS_LINE_REST;
            return;
        }
        inHeaderName = inHeaderName && next != ':';
        inHead = !inHeaderName || lineEmpty || isNameCharacter(next);
        followNameLine(next);
    }

    private void endLine() {
        found |= matchedNameLine == nameLine.length;
        inHead = !lineEmpty && (inStatusLine || !inHeaderName);
        inStatusLine = false;
        inHeaderName = true;
        lineEmpty = true;
        matchedNameLine = 0;
    }

    private void followNameLine(byte next) {
        boolean ended = matchedNameLine == nameLine.length;
        boolean skipped = isBlank(next) && (matchedNameLine == valueStart || ended);
        if (!skipped && matchedNameLine != MISMATCH) {
            matchedNameLine = !ended && matchesNameLine(next) ? matchedNameLine + 1 : MISMATCH;
        }
    }

    private boolean matchesNameLine(byte next) {
        boolean inName = matchedNameLine < valueStart;
        int compared = inName ? Character.toLowerCase(next) : next;
        return compared == nameLine[matchedNameLine];
    }

    private static boolean isNameCharacter(byte next) {
        return Character.isLetterOrDigit(next) || "!#$%&'*+-.^_`|~".indexOf(next) >= 0;
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
