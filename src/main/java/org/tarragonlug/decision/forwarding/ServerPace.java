package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;

/**
 * How long work takes on one server, as a multiple of the usual time.
 *
 * <p>There are two sources, because no one of them suffices. The pace that the server states with
 * an answer is exact at that moment and changes many times per second, so it loses its weight
 * within {@link #STATEMENT_VALIDITY}. The weight falls linearly: if a pace lasts for a fixed time
 * and a statement falls anywhere in it, the probability that the statement still holds falls in the
 * same way. The pace that is learnt from the server's answer times changes slowly, and includes
 * what the server states all the time. A slowdown that both show is therefore counted once.
 *
 * <p>Answer times differ by chance, also among equal servers. A mean difference counts if it
 * exceeds its standard error {@link #SIGNIFICANCE} times, and counts the more the more it exceeds
 * that. Equal servers therefore keep a pace of exactly 1, and the pace does not jump. What was
 * learnt expires, so that a server that receives hardly any requests because it was slow is tried
 * again.
 */
public final class ServerPace {
    /** Time after which a stated pace says nothing about the present one. */
    static final Duration STATEMENT_VALIDITY = Duration.ofMillis(500);

    /** Time within which an answer time loses half of its weight. */
    private static final Duration LEARNING_HALF_LIFE = Duration.ofSeconds(10);

    /** How long a learnt pace holds after the last answer. */
    private static final Duration LEARNT_VALIDITY = Duration.ofSeconds(30);

    /** How long a learnt pace that the planner announced replaces the own one. */
    private static final Duration ANNOUNCEMENT_VALIDITY = Duration.ofSeconds(3);

    /** Age from which on a stated pace yields to one that the planner announces. */
    private static final Duration YIELDING_AGE = Duration.ofMillis(200);

    /** Standard errors by which a mean must differ from the usual time. */
    private static final double SIGNIFICANCE = 3;

    /** Number of answers from which on their mean counts. */
    private static final double MIN_ANSWERS = 4;

    /** Largest factor between a learnt pace and the usual one, which bounds a wrong estimate. */
    private static final double MAX_FACTOR = 8;

    /** Pace from which on a server counts as slow, as a multiple of the usual time. */
    public static final double SLOW_PACE = 1.3;

    private static final int MAX_REPORTED_PERCENT = 10_000;
    private static final double USUAL = ReportedLoad.USUAL_PACE;

    /** A time before all others whose difference from them does not overflow. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private double stated = 1;
    private long statedAtMillis = LONG_AGO;
    private boolean statedToThisInstance;
    private double answers;
    private double meanLogRatio;
    private double learnt = 1;
    private long learntAtMillis = LONG_AGO;
    private double announced = 1;
    private long announcedAtMillis = LONG_AGO;
    private int unreportedAnswers;
    private double unreportedLogSum;

    /** Forgets everything, because the server's process has started anew. */
    void reset() {
        stated = 1;
        statedAtMillis = LONG_AGO;
        statedToThisInstance = false;
        answers = 0;
        meanLogRatio = 0;
        learnt = 1;
        learntAtMillis = LONG_AGO;
        announced = 1;
        announcedAtMillis = LONG_AGO;
        unreportedAnswers = 0;
        unreportedLogSum = 0;
    }

    /**
     * Records the pace that the server stated with an answer that was received now. A statement
     * that is older than the last one is ignored.
     *
     * @param percent the pace in percent of the usual time
     */
    public void recordStated(int percent, Instant now) {
        if (now.toEpochMilli() < statedAtMillis) {
            return;
        }
        stated = percent / USUAL;
        statedAtMillis = now.toEpochMilli();
        statedToThisInstance = true;
    }

    /**
     * Records the time of an answer.
     *
     * @param logRatio natural logarithm of the time as a multiple of the usual time
     * @param deviation standard deviation of this logarithm among all answers of the service
     */
    void recordAnswer(double logRatio, double deviation, Instant now) {
        double elapsed = now.toEpochMilli() - learntAtMillis;
        double kept = Math.pow(0.5, elapsed / LEARNING_HALF_LIFE.toMillis());
        answers = answers * kept + 1;
        meanLogRatio += (logRatio - meanLogRatio) / answers;
        learntAtMillis = now.toEpochMilli();
        unreportedAnswers++;
        unreportedLogSum += logRatio;
        learnt = significantPace(deviation);
    }

    private double significantPace(double deviation) {
        if (answers < MIN_ANSWERS) {
            return 1;
        }
        double margin = SIGNIFICANCE * deviation / Math.sqrt(answers);
        if (Math.abs(meanLogRatio) <= margin) {
            return 1;
        }
        double pace = Math.exp(meanLogRatio - margin * margin / meanLogRatio);
        return Math.max(1 / MAX_FACTOR, Math.min(pace, MAX_FACTOR));
    }

    /**
     * Tells whether the stated, learnt and announced pace were all last recorded as the usual one.
     * Their age is not considered, so that the common case needs no computation.
     */
    boolean isUsual() {
        return stated == 1 && learnt == 1 && announced == 1;
    }

    /** Tells whether work takes so much longer than usual that requests are noticeably late. */
    boolean isSlow(Instant now) {
        return combined(1, now) >= SLOW_PACE;
    }

    /** Returns the pace that the server stated last, weighted by its age; 1 is the usual time. */
    public double stated(Instant now) {
        if (stated == 1) {
            return 1;
        }
        double age = now.toEpochMilli() - statedAtMillis;
        double weight = 1 - age / STATEMENT_VALIDITY.toMillis();
        return weight <= 0 ? 1 : 1 + weight * (stated - 1);
    }

    /** Records the learnt pace that the planner announces, in percent. */
    void recordAnnouncedLearnt(int percent, Instant now) {
        announced = percent / USUAL;
        announcedAtMillis = now.toEpochMilli();
    }

    /**
     * Records the stated pace that the planner announces, in percent and weighted by its age. It
     * does not replace a statement that this instance received a moment ago.
     */
    void recordAnnouncedStated(int percent, Instant now) {
        if (now.toEpochMilli() - statedAtMillis >= YIELDING_AGE.toMillis()) {
            stated = percent / USUAL;
            statedAtMillis = now.toEpochMilli();
            statedToThisInstance = false;
        }
    }

    /**
     * Returns the pace, weighted by its age, if the server stated it to this instance a moment ago,
     * in percent; otherwise the usual pace.
     */
    int newlyStatedPercent(Instant now) {
        boolean isNew =
                statedToThisInstance
                        && now.toEpochMilli() - statedAtMillis < YIELDING_AGE.toMillis();
        return isNew ? (int) Math.round(stated(now) * USUAL) : ReportedLoad.USUAL_PACE;
    }

    /**
     * Returns the mean time of the answers since the last call, in percent of the usual time; 0 if
     * there were none.
     */
    int takeAnswerPace() {
        if (unreportedAnswers == 0) {
            return 0;
        }
        double ratio = Math.exp(unreportedLogSum / unreportedAnswers);
        unreportedAnswers = 0;
        unreportedLogSum = 0;
        return (int) Math.max(1, Math.min(Math.round(ratio * USUAL), MAX_REPORTED_PERCENT));
    }

    private boolean isAnnounced(Instant now) {
        return now.toEpochMilli() - announcedAtMillis <= ANNOUNCEMENT_VALIDITY.toMillis();
    }

    /**
     * Tells whether the learnt and the stated pace have both expired. Meant for the planner's
     * totals, which receive no announcements.
     */
    boolean isExpired(Instant now) {
        return now.toEpochMilli() - learntAtMillis > LEARNT_VALIDITY.toMillis()
                && now.toEpochMilli() - statedAtMillis > STATEMENT_VALIDITY.toMillis();
    }

    /**
     * Returns how long work probably takes. If both paces differ from the usual one in the same
     * direction, the one that differs more counts, because the learnt one includes the other;
     * otherwise their product.
     *
     * @param statedWeight part of the difference of the stated pace that counts, from 0 to 1
     */
    double combined(double statedWeight, Instant now) {
        double momentary = 1 + statedWeight * (stated(now) - 1);
        double lasting = learnt(now);
        if (momentary > 1 && lasting > 1) {
            return Math.max(momentary, lasting);
        }
        if (momentary < 1 && lasting < 1) {
            return Math.min(momentary, lasting);
        }
        return momentary * lasting;
    }

    /** Returns the pace that was learnt from the server's answer times; 1 is the usual time. */
    public double learnt(Instant now) {
        if (isAnnounced(now)) {
            return announced;
        }
        return learnt == 1 || now.toEpochMilli() - learntAtMillis > LEARNT_VALIDITY.toMillis()
                ? 1
                : learnt;
    }
}
