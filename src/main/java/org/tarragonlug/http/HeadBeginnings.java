package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;

/** Counts the beginnings of heads in bytes that are received part by part. */
final class HeadBeginnings {
    private int matched;
    private int count;

    void reset() {
        matched = 0;
        count = 0;
    }

    void follow(ByteBuf bytes) {
        bytes.forEachByte(
                next -> {
                    follow(next);
                    return true;
                });
    }

    void follow(byte next) {
        String beginning = AnswerHead.BEGINNING;
        boolean startsAgain = next == beginning.charAt(0);
        matched = next == beginning.charAt(matched) ? matched + 1 : startsAgain ? 1 : 0;
        if (matched == beginning.length()) {
            matched = 0;
            count++;
        }
    }

    int count() {
        return count;
    }
}
