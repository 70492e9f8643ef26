package org.tarragonlug.decision.request;

/** Offsets of the tokens of one answer, across all its attempts. */
final class AnswerStream {
    /** What to do with a token. */
    enum TokenAction {
        /** It is the next one. */
        FORWARD,
        /** It was forwarded before. */
        DUPLICATE,
        /** A token before it is missing. */
        GAP
    }

    private int nextOffset;

    /** Judges a token and counts it if it is to be forwarded. */
    TokenAction accept(int offset) {
        if (offset == nextOffset) {
            nextOffset++;
            return TokenAction.FORWARD;
        }
        return offset < nextOffset ? TokenAction.DUPLICATE : TokenAction.GAP;
    }

    /** Returns the offset of the next token, which is the number forwarded. */
    int nextOffset() {
        return nextOffset;
    }
}
