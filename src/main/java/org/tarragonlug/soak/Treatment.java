package org.tarragonlug.soak;

import java.util.Optional;
import java.util.Random;

/**
 * How a server treats a request, drawn at random.
 *
 * @param refused whether the server refuses it although it could run it
 * @param refusal how it says so, also when it has to refuse
 * @param pauseMillis pause that the refusal states; 0 for none
 * @param workMillis time until the answer begins
 * @param outcome what comes of a run
 * @param stream what happens to the request if it is a stream
 * @param copy how the answer is sent once more; empty for not at all
 * @param copyDelayMillis time until then, if the form of the copy has one
 * @param end what happens to the connection after the answer
 * @param endDelayMillis when that happens
 */
record Treatment(
        boolean refused,
        RefusalKind refusal,
        long pauseMillis,
        long workMillis,
        Outcome outcome,
        StreamTreatment stream,
        Optional<CopyForm> copy,
        long copyDelayMillis,
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

    private static final int PAUSE_PERCENT = 8;
    private static final int SHORTEST_PAUSE_MILLIS = 50;
    private static final int LONGEST_PAUSE_MILLIS = 400;
    private static final int LONGEST_WORK_MILLIS = 150;
    private static final int FAILED_PERCENT = 2;
    private static final int BROKEN_OFF_PERCENT = 3;
    private static final int REFUSAL_COPIED_PERCENT = 70;
    private static final int ANSWER_COPIED_PERCENT = 15;
    private static final int LONGEST_COPY_DELAY_MILLIS = 300;

    /** Half of the copies come within this time, while a repeated request still runs. */
    private static final int SHORT_COPY_DELAY_MILLIS = 60;

    private static final int CLOSE_PERCENT = 4;
    private static final int RESET_PERCENT = 3;
    private static final int LONGEST_END_DELAY_MILLIS = 12;

    /**
     * Draws the treatment of a request.
     *
     * @param service service of the server
     * @param refusedPercent share of the requests that it refuses
     * @param pressure how often and how long it works long
     */
    static Treatment draw(
            Random random, String service, int refusedPercent, PressureShape pressure) {
        boolean refused = SoakRandom.percent(random, refusedPercent);
        boolean paused = refused && SoakRandom.percent(random, PAUSE_PERCENT);
        int pause = SoakRandom.between(random, SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
        int work = drawWork(random, pressure);
        StreamTreatment stream = StreamTreatment.draw(random);
        Outcome outcome = drawOutcome(random);
        int copiedPercent = refused ? REFUSAL_COPIED_PERCENT : ANSWER_COPIED_PERCENT;
        return new Treatment(
                refused,
                RefusalKind.draw(random, service),
                paused ? pause : 0,
                work,
                outcome,
                stream,
                drawCopy(random, copiedPercent),
                drawCopyDelay(random),
                drawEnd(random),
                random.nextInt(LONGEST_END_DELAY_MILLIS + 1));
    }

    private static int drawWork(Random random, PressureShape pressure) {
        int work = random.nextInt(LONGEST_WORK_MILLIS);
        boolean longWork =
                pressure.longWorkPercent() > 0
                        && SoakRandom.percent(random, pressure.longWorkPercent());
        return longWork ? random.nextInt(pressure.longestWorkMillis()) : work;
    }

    private static Optional<CopyForm> drawCopy(Random random, int percent) {
        CopyForm form = CopyForm.draw(random);
        return SoakRandom.percent(random, percent) ? Optional.of(form) : Optional.empty();
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
        return new Treatment(
                false,
                RefusalKind.FULL,
                0,
                1,
                Outcome.WHOLE,
                StreamTreatment.SOUND,
                Optional.empty(),
                0,
                End.KEEP,
                0);
    }

    /**
     * Returns the same treatment of a request that the server must refuse, for example since it is
     * meant for another one.
     */
    Treatment asRefusal(Random random) {
        return new Treatment(
                true,
                refusal,
                0,
                0,
                outcome,
                StreamTreatment.SOUND,
                drawCopy(random, REFUSAL_COPIED_PERCENT),
                drawCopyDelay(random),
                end,
                endDelayMillis);
    }

    /** Returns the treatment of a resumption that the server refuses in a way of its own. */
    Treatment asResumption(ResumptionRefusal refusal) {
        return new Treatment(
                false,
                this.refusal,
                0,
                workMillis,
                Outcome.FAILED,
                stream,
                Optional.empty(),
                0,
                refusal.end(),
                0);
    }

    /** Returns how a run has ended whose answer was written as far as the outcome says. */
    RunEnd runEnd() {
        if (outcome == Outcome.BROKEN_OFF || end == End.RESET) {
            return RunEnd.BROKEN_OFF;
        }
        return outcome == Outcome.FAILED ? RunEnd.FAILED : RunEnd.WHOLE;
    }
}
