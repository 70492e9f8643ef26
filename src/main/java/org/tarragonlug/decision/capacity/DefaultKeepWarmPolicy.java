package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.tarragonlug.id.ArtifactId;

/**
 * Keeps an idle artifact loaded as long as this is expected to cost less than its next cold start.
 *
 * <p>A cold start costs {@code coldStartWeight * coldStart} idle seconds for each caller that waits
 * for it; the number of callers that arrive together is estimated from earlier arrivals. Idle
 * seconds are seconds of one complete accelerator: an artifact that occupies a tenth of an
 * accelerator may stay loaded ten times as long. Two rules apply:
 *
 * <ul>
 *   <li>After a request, the artifact stays loaded for the time t that minimises {@code E[min(gap,
 *       t)] + cost * P(gap > t)} over the recorded gaps, where the cost increases with the number
 *       of callers that arrived at the end of such a gap. If gaps are regular, the artifact is
 *       unloaded and loaded again before the next arrival if this is cheaper ({@link GapPlan}).
 *       While fewer than {@value #MIN_GAPS} gaps are recorded, the artifact stays loaded for {@code
 *       cost} seconds. This never costs more than twice the choice that would have been best in
 *       hindsight.
 *   <li>At any time, the artifact is loaded or kept loaded while the {@link WeekProfile} predicts
 *       session starts at a rate whose cold starts cost more than one idle second per second. For a
 *       recurring lesson this holds for a few minutes around its start. The load starts earlier by
 *       {@value #LEAD_FACTOR} times its expected duration.
 * </ul>
 *
 * <p>Limits: the gap rule does not consider the time of day, and the profile considers only weekly
 * and daily recurrence.
 */
public final class DefaultKeepWarmPolicy implements KeepWarmPolicy {
    private static final double MIN_GAPS = 3;

    /** With fewer recorded gaps the policy does not assume that gaps are regular. */
    private static final double MIN_GAPS_TO_RELOAD = 20;

    /**
     * A reload costs more than its duration in idle time: it occupies memory while it runs, and
     * costs two writes of the record and a part of the server's capacity.
     */
    private static final double RELOAD_COST_FACTOR = 2;

    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * Factor on the expected load time when a load is started ahead of demand, because some loads
     * take longer than expected and some callers arrive before the usual start.
     */
    private static final double LEAD_FACTOR = 1.5;

    /**
     * Time by which the profile rule extends the keep time of an idle artifact. The rule is
     * evaluated again after it; the profile changes every five minutes.
     */
    private static final double KEEP_EXTENSION_SECONDS = 60;

    /** Expected benefits of idle artifacts are compared over the next quarter of an hour. */
    private static final double BENEFIT_HORIZON_SECONDS = 900;

    private final ToDoubleFunction<ArtifactId> acceleratorShare;
    private final Map<ArtifactId, ArrivalHistory> histories = new HashMap<>();

    /**
     * Creates a policy without history.
     *
     * @param acceleratorShare the fraction of an accelerator that an artifact occupies while
     *     loaded, above zero; usually its memory divided by the memory of one accelerator
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
            return duration(
                    coldStartWeight
                            * seconds(coldStart)
                            / acceleratorShare.applyAsDouble(artifact));
        }
        double cost =
                coldStartWeight * seconds(coldStart) / acceleratorShare.applyAsDouble(artifact);
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
        if (idle + KEEP_EXTENSION_SECONDS > keep
                && startExpected(history, coldStart, startCost, now)) {
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
        double cost =
                coldStartWeight * seconds(coldStart) / acceleratorShare.applyAsDouble(artifact);
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
        double rate =
                history.arrivalProbability(now, BENEFIT_HORIZON_SECONDS) / BENEFIT_HORIZON_SECONDS;
        for (double ahead = 0; ahead < BENEFIT_HORIZON_SECONDS; ahead += WeekProfile.SLOT_SECONDS) {
            rate = Math.max(rate, history.startRate(now, ahead));
        }
        return rate * cost(history, coldStart, coldStartWeight);
    }

    /** Returns the stored forms of all histories, sorted by artifact id. */
    public Map<ArtifactId, ArrivalHistoryRecord> toRecords(Instant now) {
        Map<ArtifactId, ArrivalHistoryRecord> records = new TreeMap<>();
        histories.forEach((artifact, history) -> records.put(artifact, history.toRecord(now)));
        return records;
    }

    /**
     * Replaces all histories by stored ones. Histories of unknown versions start empty.
     *
     * @param records records made by {@link #toRecords}
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
