package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ServerId;

/**
 * The paces of servers as all instances together observe them; kept by the planner.
 *
 * <p>With many instances, each one gets few answers from a server: too few to learn its pace in
 * seconds, and too seldom to know the pace that it states. Each instance therefore reports the
 * answers since its last report, and the planner announces the servers whose pace differs from the
 * usual one. Servers of the usual pace cost nothing in the announcements. A lost report loses a few
 * answers, and a new planner learns anew within seconds, in which each instance relies on its own
 * answers.
 */
public final class PaceTotals {
    /** Smallest difference from the usual pace that is announced. */
    private static final double MIN_DIFFERENCE = 0.1;

    /**
     * Learnt paces are announced in one of so many periods. At a report every 0.4 s that is every
     * 1.6 s, less than the time for which receivers keep them.
     */
    private static final int ANNOUNCEMENT_PERIODS = 4;

    /** Weight of a new answer in the variance, once enough have been reported. */
    private static final double MIN_WEIGHT = 0.005;

    private static final double USUAL = ReportedLoad.USUAL_PACE;

    private final Map<ServerId, ServerPace> paces = new HashMap<>();
    private double variance;
    private long answers;

    /**
     * Records the report of an instance.
     *
     * @param answerPaces how long answers since its last report took, by server, in percent of the
     *     usual time
     * @param statedPaces paces stated to the instance a moment ago, by server, in percent
     */
    public void onReport(
            Map<ServerId, Integer> answerPaces, Map<ServerId, Integer> statedPaces, Instant now) {
        answerPaces.forEach((server, percent) -> recordAnswer(server, percent, now));
        statedPaces.forEach((server, percent) -> pace(server).recordStated(percent, now));
    }

    private void recordAnswer(ServerId server, int percent, Instant now) {
        double logRatio = Math.log(Math.max(1, percent) / USUAL);
        answers++;
        double weight = Math.max(MIN_WEIGHT, 1.0 / answers);
        variance += weight * (logRatio * logRatio - variance);
        pace(server).recordAnswer(logRatio, Math.sqrt(variance), now);
    }

    private ServerPace pace(ServerId server) {
        return paces.computeIfAbsent(server, each -> new ServerPace());
    }

    /** Returns the learnt paces that differ from the usual one, in percent. */
    public Map<ServerId, Integer> learnt(Instant now) {
        paces.values().removeIf(pace -> pace.isExpired(now));
        Map<ServerId, Integer> differing = new HashMap<>();
        paces.forEach((server, pace) -> putIfDiffering(differing, server, pace.learnt(now)));
        return differing;
    }

    /**
     * Returns the learnt paces in one of {@link #ANNOUNCEMENT_PERIODS} periods, otherwise nothing.
     * Learnt paces change slowly and hold for seconds after an announcement, so that not every
     * notice needs them. All receivers get them in the same period, and no state for each is kept.
     *
     * @param period interval of reports; periods are counted from the epoch, so that all receivers
     *     get the paces in the same one
     */
    public Map<ServerId, Integer> learntIfDue(Duration period, Instant now) {
        boolean due = now.toEpochMilli() / period.toMillis() % ANNOUNCEMENT_PERIODS == 0;
        return due ? learnt(now) : Map.of();
    }

    /** Returns the stated paces, weighted by their age, that differ from the usual one. */
    public Map<ServerId, Integer> stated(Instant now) {
        Map<ServerId, Integer> differing = new HashMap<>();
        paces.forEach((server, pace) -> putIfDiffering(differing, server, pace.stated(now)));
        return differing;
    }

    private static void putIfDiffering(
            Map<ServerId, Integer> differing, ServerId server, double pace) {
        if (Math.abs(pace - 1) >= MIN_DIFFERENCE) {
            differing.put(server, (int) Math.round(pace * USUAL));
        }
    }
}
