package org.tarragonlug.soak;

import java.util.Random;

/** Why a server says that it has not run a request. */
enum RefusalKind {
    /** All its slots are taken. */
    FULL(503),
    /** It gets more requests than it wants. */
    LIMITED(429),
    /** It does not hold the model; only servers with models say so. */
    MODEL_ABSENT(421);

    private static final int LIMITED_PERCENT = 20;
    private static final int ABSENT_PERCENT = 20;

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    /** Draws a kind. */
    static RefusalKind draw(Random random, String service) {
        int number = random.nextInt(100);
        if (number < LIMITED_PERCENT) {
            return LIMITED;
        }
        boolean holdsModels = service.equals(RequestKind.ASK.service());
        return holdsModels && number < LIMITED_PERCENT + ABSENT_PERCENT ? MODEL_ABSENT : FULL;
    }
}
