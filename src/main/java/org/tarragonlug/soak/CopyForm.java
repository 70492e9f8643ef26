package org.tarragonlug.soak;

import java.util.Random;

/** How a server sends an answer once more. */
enum CopyForm {
    /** After some time, in one write. */
    WHOLE,
    /** After some time, in two writes. */
    DIVIDED,
    /** In the write of the answer itself. */
    TOGETHER,
    /** After some time, and a second time soon after. */
    TWICE,
    /** As soon as the next request has arrived on the connection. */
    AFTER_NEXT_REQUEST,
    /** After some time, and then the server closes the connection. */
    BEFORE_CLOSE;

    private static final CopyForm[] FORMS = values();

    /** Draws a form. */
    static CopyForm draw(Random random) {
        return FORMS[random.nextInt(FORMS.length)];
    }

    /** Returns whether the copy is sent after some time, without a further request. */
    boolean isTimed() {
        return this != TOGETHER && this != AFTER_NEXT_REQUEST;
    }

    /** Returns the bytes of an answer as they are first written. */
    byte[] firstWrite(byte[] answer) {
        if (this != TOGETHER) {
            return answer;
        }
        byte[] twice = new byte[2 * answer.length];
        System.arraycopy(answer, 0, twice, 0, answer.length);
        System.arraycopy(answer, 0, twice, answer.length, answer.length);
        return twice;
    }
}
