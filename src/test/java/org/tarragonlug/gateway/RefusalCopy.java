package org.tarragonlug.gateway;

/** How a server sends a refusal once more. */
enum RefusalCopy {
    AFTER_3_MILLIS(3),
    AFTER_30_MILLIS(30),
    AFTER_100_MILLIS(100),
    AFTER_300_MILLIS(300),
    /** The connection has just become idle, or carries the next request already. */
    JUST_GIVEN_BACK(5) {
        @Override
        long delayMillis(int number) {
            return number % (millis() + 1);
        }
    },
    /** The first part ends with a line and is sent before the next request on the connection. */
    SPLIT_AT_LINE_END(2) {
        @Override
        int firstPartLength(String refusal, int number) {
            int length = refusal.indexOf("\r\n") + 2;
            for (int line = number % LINES; line > 0; line--) {
                length = refusal.indexOf("\r\n", length) + 2;
            }
            return length;
        }
    },
    /** The first part ends within a line and is sent before the next request on the connection. */
    SPLIT_WITHIN_LINE(2) {
        @Override
        int firstPartLength(String refusal, int number) {
            int length = 1 + number % (refusal.length() - 2);
            return refusal.startsWith("\n", length) ? length - 1 : length;
        }
    },
    /** In one packet with the answer to the next request on the connection, behind it. */
    BEHIND_NEXT_ANSWER(20) {
        @Override
        boolean isBehindNextAnswer() {
            return true;
        }
    },
    /** The refusal comes before the request's long body was read; the copy follows later. */
    BEFORE_BODY_IS_READ(40) {
        @Override
        boolean isBeforeBody() {
            return true;
        }
    };

    /** Lines after the first one that every refusal has. */
    private static final int LINES = 3;

    private final long millis;

    RefusalCopy(long millis) {
        this.millis = millis;
    }

    long millis() {
        return millis;
    }

    /** Returns the time from the refusal numbered so to its copy, or to the copy's first part. */
    long delayMillis(int number) {
        return millis;
    }

    /** Returns the length of the part that is sent by itself; the whole length if not divided. */
    int firstPartLength(String refusal, int number) {
        return refusal.length();
    }

    boolean isBehindNextAnswer() {
        return false;
    }

    boolean isBeforeBody() {
        return false;
    }
}
