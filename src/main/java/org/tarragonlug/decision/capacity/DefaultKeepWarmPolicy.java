package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.tarragonlug.id.ArtifactId;

/**
 * Keeps an idle artifact loaded while that is expected to cost less than its next cold start.
 *
 * <p>A cold start costs {@code coldStartWeight * coldStart} idle seconds for each caller that waits
 * for it; the number of callers that arrive together is learnt. Idle seconds are those of a whole
 * accelerator: an artifact that occupies a tenth of one may stay ten times as long. Two rules
 * apply:
 *
 * <ul>
 *   <li>After a request, the artifact stays for the time t that minimises {@code E[min(gap, t)] +
 *       cost * P(gap > t)} over the known gaps, where the cost grows with the callers that came
 *       after such a gap. Where gaps are regular, it is unloaded and loaded again before the next
 *       arrival, if that is cheaper ({@link GapPlan}). While fewer than {@value #MIN_GAPS} gaps
 *       are known, it stays for {@code cost} seconds, which never costs more than twice the best
 *       choice made in hindsight.
 *   <li>At any time, it is loaded or kept while the week's profile expects session starts at a rate
 *       whose cold starts cost more than one idle second per second. For a recurring lesson this is
 *       a few minutes around its start. A load is started earlier by its own duration.
 * </ul>
 *
 * <p>Limits: the gap rule does not know the time of day, and the profile knows only weekly and
 * daily recurrence.
 */
public final class DefaultKeepWarmPolicy implements KeepWarmPolicy {
    private static final double MIN_GAPS = 3;

    /** Fewer gaps than this do not show that gaps are regular. */
    private static final double MIN_GAPS_TO_RELOAD = 20;

    /** A load occupies memory while it runs, and costs two writes and a share of the server. */
    private static final double RELOAD_COST_FACTOR = 2;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Loads take longer than expected at times, and callers come before the usual minute. */
    private static final double LEAD_FACTOR = 1.5;

    /** The profile changes every five minutes; a held artifact is looked at again after this. */
    private static final double KEEP_EXTENSION_SECONDS = 60;

    /** Prospects of idle artifacts are compared over the coming quarter hour. */
    private static final double BENEFIT_HORIZON_SECONDS = 900;

    private final ToDoubleFunction<ArtifactId> acceleratorShare;
    private final Map<ArtifactId, ArrivalHistory> histories = new HashMap<>();

    /**
     * Creates a policy without history.
     *
     * @param acceleratorShare how much of an accelerator an artifact occupies while loaded, above zero;
     *     usually its memory divided by that of one accelerator
     */
    public DefaultKeepWarmPolicy(ToDoubleFunction<ArtifactId> acceleratorShare) {
        this.acceleratorShare = acceleratorShare;
    }

    @Override
    public void recordArrivals(ArtifactId artifact, int count, Instant now) {
        if (count > 0) {
            histories
                    .computeIfAbsent(artifact, unused -> ArrivalHistory.empty(now))
                    .recordArrivals(count, now);
        }
    }

    @Override
    public Duration keepFor(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        ArrivalHistory history = histories.get(artifact);
        if (history == null) {
            return duration(coldStartWeight * seconds(coldStart) / acceleratorShare.applyAsDouble(artifact));
        }
        double cost = coldStartWeight * seconds(coldStart) / acceleratorShare.applyAsDouble(artifact);
        double idle = history.idleSeconds(now);
        double keep = cost;
        if (history.gapCount(now) >= MIN_GAPS) {
            GapPlan plan = history.plan(cost, RELOAD_COST_FACTOR * seconds(coldStart));
            double ready = idle + LEAD_FACTOR * seconds(coldStart);
            keep = plan.keepSeconds(idle);
            if (keep <= idle && plan.loadDue(ready)) {
                keep = plan.keepSeconds(ready);
            }
        }
        double startCost = cost * history.callersPerStart();
        if (idle + KEEP_EXTENSION_SECONDS > keep && startExpected(history, coldStart, startCost, now)) {
            keep = idle + KEEP_EXTENSION_SECONDS;
        }
        return duration(keep);
    }

    @Override
    public boolean shouldPrewarm(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        ArrivalHistory history = histories.get(artifact);
        if (history == null) {
            return false;
        }
        double cost = coldStartWeight * seconds(coldStart) / acceleratorShare.applyAsDouble(artifact);
        if (startExpected(history, coldStart, cost * history.callersPerStart(), now)) {
            return true;
        }
        double ready = history.idleSeconds(now) + LEAD_FACTOR * seconds(coldStart);
        return history.gapCount(now) >= MIN_GAPS_TO_RELOAD
                && history.plan(cost, RELOAD_COST_FACTOR * seconds(coldStart)).loadDue(ready);
    }

    @Override
    public double expectedBenefit(
            ArtifactId artifact, Duration coldStart, double coldStartWeight, Instant now) {
        ArrivalHistory history = histories.get(artifact);
        if (history == null) {
            return 0;
        }
        double rate = history.arrivalProbability(now, BENEFIT_HORIZON_SECONDS) / BENEFIT_HORIZON_SECONDS;
        for (double ahead = 0; ahead < BENEFIT_HORIZON_SECONDS; ahead += WeekProfile.SLOT_SECONDS) {
            rate = Math.max(rate, history.startRate(now, ahead));
        }
        return rate * cost(history, coldStart, coldStartWeight);
    }

    /** Returns the stored forms of all histories, in the order of their ids. */
    public Map<ArtifactId, ArrivalHistoryRecord> toRecords(Instant now) {
        Map<ArtifactId, ArrivalHistoryRecord> records = new TreeMap<>();
        histories.forEach((artifact, history) -> records.put(artifact, history.toRecord(now)));
        return records;
    }

    /**
     * Replaces the histories by stored ones; those of unknown versions start empty.
     *
     * @param records what {@link #toRecords} returned
     * @param now the present time
     */
    public void restore(Map<ArtifactId, ArrivalHistoryRecord> records, Instant now) {
        histories.clear();
        records.forEach(
                (artifact, stored) -> histories.put(artifact, ArrivalHistory.restore(stored, now)));
    }

    private static boolean startExpected(
            ArrivalHistory history, Duration coldStart, double cost, Instant now) {
        double lead = LEAD_FACTOR * seconds(coldStart);
        double rate = Math.max(history.startRate(now, 0), history.startRate(now, lead));
        return rate * cost > 1;
    }

    private static double cost(ArrivalHistory history, Duration coldStart, double weight) {
        return weight * seconds(coldStart) * history.callersPerStart();
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / MILLIS_PER_SECOND;
    }

    private static Duration duration(double seconds) {
        return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
    }
}
