package org.tarragonlug.decision.request;

/** Offsets of the tokens of one answer, across all its attempts. */
final class AnswerStream {
    /** What to do with a token. */
    enum Verdict {
        /** It is the next one. */
        FORWARD,
        /** It was forwarded before. */
        DUPLICATE,
        /** A token before it is missing. */
        GAP
    }

    private int next;

    /** Judges a token and counts it if it is to be forwarded. */
    Verdict accept(int offset) {
        if (offset == next) {
            next++;
            return Verdict.FORWARD;
        }
        return offset < next ? Verdict.DUPLICATE : Verdict.GAP;
    }

    /** Returns the offset of the next token, which is the number forwarded. */
    int next() {
        return next;
    }
}
