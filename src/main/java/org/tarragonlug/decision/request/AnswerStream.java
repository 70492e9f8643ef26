package org.tarragonlug.decision.request;

/** Tracks the token offsets of one answer across all attempts of its request. */
final class AnswerStream {
    /** What to do with a received token. */
    enum TokenAction {
        /** The token is the next one of the answer and is forwarded to the caller. */
        FORWARD,
        /** A token with this offset was forwarded before; this one is dropped. */
        DUPLICATE,
        /** At least one token before this one is missing. */
        GAP
    }

    private int nextOffset;

    /**
     * Returns what to do with the token at the offset. Counts the token if it is to be forwarded.
     */
    TokenAction accept(int offset) {
        if (offset == nextOffset) {
            nextOffset++;
            return TokenAction.FORWARD;
        }
        return offset < nextOffset ? TokenAction.DUPLICATE : TokenAction.GAP;
    }

    /**
     * Returns the offset of the next token to forward, which equals the number of tokens forwarded.
     */
    int nextOffset() {
        return nextOffset;
    }
}
