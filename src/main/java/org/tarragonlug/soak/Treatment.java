package org.tarragonlug.soak;

import java.util.Random;

/**
 * How a server treats a request, drawn at random.
 *
 * @param refused whether the server refuses it as if it were full
 * @param pauseMillis pause that the refusal states; 0 for none
 * @param workMillis time until the answer begins
 * @param outcome what comes of a run
 * @param silentBeforeEvent event of a stream before which the server is silent; 0 for none
 * @param copyDelayMillis time after which the answer is sent once more; negative for never
 * @param copyDivided whether the copy comes in two parts
 * @param end what happens to the connection after the answer
 * @param endDelayMillis when that happens
 */
record Treatment(
        boolean refused,
        long pauseMillis,
        long workMillis,
        Outcome outcome,
        int silentBeforeEvent,
        long copyDelayMillis,
        boolean copyDivided,
        End end,
        long endDelayMillis) {
    /** What comes of a run. */
    enum Outcome {
        WHOLE,
        FAILED,
        BROKEN_OFF
    }

    /** What happens to a connection after an answer. */
    enum End {
        KEEP,
        CLOSE,
        RESET
    }

    private static final int REFUSED_PERCENT = 15;
    private static final int PAUSE_PERCENT = 8;
    private static final int SHORTEST_PAUSE_MILLIS = 50;
    private static final int LONGEST_PAUSE_MILLIS = 400;
    private static final int LONGEST_WORK_MILLIS = 150;
    private static final int FAILED_PERCENT = 2;
    private static final int BROKEN_OFF_PERCENT = 3;
    private static final int SILENT_PERCENT = 3;
    private static final int LONGEST_SILENT_PLACE = 4;
    private static final int REFUSAL_COPIED_PERCENT = 70;
    private static final int ANSWER_COPIED_PERCENT = 15;
    private static final int LONGEST_COPY_DELAY_MILLIS = 300;

    /** Half of the copies come within this time, while a repeated request still runs. */
    private static final int SHORT_COPY_DELAY_MILLIS = 60;

    private static final int CLOSE_PERCENT = 4;
    private static final int RESET_PERCENT = 3;
    private static final int LONGEST_END_DELAY_MILLIS = 12;

    /** Draws the treatment of a request. */
    static Treatment draw(Random random) {
        boolean refused = SoakRandom.percent(random, REFUSED_PERCENT);
        boolean paused = refused && SoakRandom.percent(random, PAUSE_PERCENT);
        int pause = SoakRandom.between(random, SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
        int work = random.nextInt(LONGEST_WORK_MILLIS);
        boolean silent = SoakRandom.percent(random, SILENT_PERCENT);
        int silentPlace = SoakRandom.between(random, 1, LONGEST_SILENT_PLACE);
        Outcome outcome = drawOutcome(random);
        int copiedPercent = refused ? REFUSAL_COPIED_PERCENT : ANSWER_COPIED_PERCENT;
        boolean copied = SoakRandom.percent(random, copiedPercent);
        int copyDelay = drawCopyDelay(random);
        return new Treatment(
                refused,
                paused ? pause : 0,
                work,
                outcome,
                silent ? silentPlace : 0,
                copied ? copyDelay : -1,
                random.nextBoolean(),
                drawEnd(random),
                random.nextInt(LONGEST_END_DELAY_MILLIS + 1));
    }

    private static int drawCopyDelay(Random random) {
        boolean soon = random.nextBoolean();
        return random.nextInt(1 + (soon ? SHORT_COPY_DELAY_MILLIS : LONGEST_COPY_DELAY_MILLIS));
    }

    private static Outcome drawOutcome(Random random) {
        int number = random.nextInt(100);
        if (number < FAILED_PERCENT) {
            return Outcome.FAILED;
        }
        return number < FAILED_PERCENT + BROKEN_OFF_PERCENT ? Outcome.BROKEN_OFF : Outcome.WHOLE;
    }

    private static End drawEnd(Random random) {
        int number = random.nextInt(100);
        if (number < CLOSE_PERCENT) {
            return End.CLOSE;
        }
        return number < CLOSE_PERCENT + RESET_PERCENT ? End.RESET : End.KEEP;
    }

    /** Returns the treatment by a server without faults. */
    static Treatment sound() {
        return new Treatment(false, 0, 1, Outcome.WHOLE, 0, -1, false, End.KEEP, 0);
    }

    /**
     * Returns the same treatment of a request that the server must refuse, for example since it is
     * meant for another one.
     */
    Treatment asRefusal(Random random) {
        boolean copied = SoakRandom.percent(random, REFUSAL_COPIED_PERCENT);
        long delay = copied ? drawCopyDelay(random) : -1;
        return new Treatment(true, 0, 0, outcome, 0, delay, copyDivided, end, endDelayMillis);
    }
}
