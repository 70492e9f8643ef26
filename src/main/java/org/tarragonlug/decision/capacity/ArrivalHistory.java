package org.tarragonlug.decision.capacity;

import java.time.Instant;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * What is remembered of the arrivals of one artifact: the gaps between them, when in the week they
 * come, and how many callers come together.
 *
 * <p>The size is constant (about 18 KB in memory), whatever the number of arrivals.
 */
public final class ArrivalHistory {
    /** The version of {@link ArrivalHistoryRecord} that this release writes and reads. */
    public static final int FORMAT_VERSION = 1;

    /** Time without arrivals after which the next one starts a new session. */
    static final double SESSION_GAP_SECONDS = 600;

    /** Arrivals this soon after a gap would wait for the same cold start. */
    private static final double BURST_SECONDS = 20;

    private static final double NEWEST_BURST_WEIGHT = 0.2;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final GapHistogram gaps;
    private final WeekProfile week;
    private double lastArrival;
    private double callersPerStart;
    private double burstStart = Double.NEGATIVE_INFINITY;
    private double burstGap = Double.POSITIVE_INFINITY;
    private int burstCallers;
    private GapPlan plan;
    private double planCost;
    private double planReloadCost;

    private ArrivalHistory(
            GapHistogram gaps, WeekProfile week, double lastArrival, double callersPerStart) {
        this.gaps = gaps;
        this.week = week;
        this.lastArrival = lastArrival;
        this.callersPerStart = callersPerStart;
    }

    /**
     * Creates an empty history.
     *
     * @param now when it begins
     */
    public static ArrivalHistory empty(Instant now) {
        double seconds = seconds(now);
        return new ArrivalHistory(
                new GapHistogram(
                        new double[GapHistogram.BUCKETS],
                        new double[GapHistogram.BUCKETS],
                        seconds),
                new WeekProfile(
                        new double[WeekProfile.HOURS],
                        new double[WeekProfile.SLOTS],
                        seconds,
                        seconds),
                Double.NEGATIVE_INFINITY,
                1);
    }

    /**
     * Restores a stored history.
     *
     * @param stored what {@link #toRecord} returned, possibly in another release
     * @param now the present time
     * @return the history; an empty one if the record has an unknown version or is malformed,
     *     because a lost history costs only some cold starts
     */
    public static ArrivalHistory restore(ArrivalHistoryRecord stored, Instant now) {
        if (!isReadable(stored)) {
            return empty(now);
        }
        double[] gaps =
                IntStream.range(0, GapHistogram.BUCKETS)
                        .mapToDouble(i -> stored.gaps()[i])
                        .toArray();
        double[] gapCallers =
                IntStream.range(0, GapHistogram.BUCKETS)
                        .mapToDouble(i -> stored.gapCallers()[i])
                        .toArray();
        double[] hours = expand(stored.hours(), stored.hourWeights(), WeekProfile.HOURS);
        double[] starts = expand(stored.startSlots(), stored.startWeights(), WeekProfile.SLOTS);
        return new ArrivalHistory(
                new GapHistogram(gaps, gapCallers, stored.writtenAt()),
                new WeekProfile(hours, starts, stored.since(), stored.writtenAt()),
                stored.lastArrival() > 0 ? stored.lastArrival() : Double.NEGATIVE_INFINITY,
                stored.callersPerStart());
    }

    /**
     * Returns the stored form.
     *
     * @param now time as of which the weights are decayed
     */
    public ArrivalHistoryRecord toRecord(Instant now) {
        double seconds = seconds(now);
        double[] hours = week.arrivalsAt(seconds);
        double[] starts = week.startsAt(seconds);
        int[] usedHours = nonZeroIndexes(hours);
        int[] allGaps = IntStream.range(0, GapHistogram.BUCKETS).toArray();
        int[] usedSlots = nonZeroIndexes(starts);
        return new ArrivalHistoryRecord(
                FORMAT_VERSION,
                week.sinceSeconds(),
                seconds,
                Double.isFinite(lastArrival) ? lastArrival : 0,
                callersPerStart,
                select(gaps.weightsAt(seconds), allGaps),
                select(gaps.callersAt(seconds), allGaps),
                usedHours,
                select(hours, usedHours),
                usedSlots,
                select(starts, usedSlots));
    }

    /**
     * Records arrivals.
     *
     * @param count requests that arrived together, at least one
     * @param now when
     */
    public void recordArrivals(int count, Instant now) {
        double seconds = seconds(now);
        double gap = seconds - lastArrival;
        week.addArrivals(count, seconds);
        if (gap >= SESSION_GAP_SECONDS) {
            week.addStart(seconds);
        }
        if (Double.isFinite(gap)) {
            gaps.add(Math.max(0, gap), seconds);
        }
        if (gap > BURST_SECONDS) {
            finishBurst();
            burstGap = gap;
            burstStart = seconds;
        } else {
            gaps.addCallers(Math.max(0, gap), count, seconds);
        }
        if (seconds - burstStart <= BURST_SECONDS) {
            burstCallers += count;
            if (Double.isFinite(burstGap)) {
                gaps.addCallers(burstGap, count, seconds);
            }
        }
        lastArrival = seconds;
        plan = null;
    }

    private void finishBurst() {
        if (burstCallers > 0 && burstGap >= SESSION_GAP_SECONDS) {
            callersPerStart += NEWEST_BURST_WEIGHT * (burstCallers - callersPerStart);
        }
        burstCallers = 0;
    }

    /** Returns when the last request arrived; empty when none is known. */
    public Optional<Instant> lastArrival() {
        if (!Double.isFinite(lastArrival)) {
            return Optional.empty();
        }
        return Optional.of(Instant.ofEpochMilli(Math.round(lastArrival * MILLIS_PER_SECOND)));
    }

    /** Returns the seconds since the last arrival; infinite when none is known. */
    double idleSeconds(Instant now) {
        return seconds(now) - lastArrival;
    }

    /** Returns the decayed mean number of callers that arrive with a session start. */
    double callersPerStart() {
        return callersPerStart;
    }

    /** Returns the decayed number of known gaps. */
    double gapCount(Instant now) {
        return gaps.total(seconds(now));
    }

    /** See {@link GapHistogram#plan}; kept until the next arrival or another cost. */
    GapPlan plan(double cost, double reloadCost) {
        if (plan == null || cost != planCost || reloadCost != planReloadCost) {
            plan = gaps.plan(cost, reloadCost);
            planCost = cost;
            planReloadCost = reloadCost;
        }
        return plan;
    }

    /** See {@link GapHistogram#arrivalProbability}, for the present idle time. */
    double arrivalProbability(Instant now, double withinSeconds) {
        return gaps.arrivalProbability(idleSeconds(now), withinSeconds);
    }

    /** Returns the expected arrivals per second at the present hour of the week. */
    double arrivalRate(Instant now) {
        return week.arrivalRate(seconds(now), seconds(now));
    }

    /**
     * Returns the expected session starts per second at a time ahead; zero for times at which an
     * arrival would still belong to the last session.
     */
    double startRate(Instant now, double aheadSeconds) {
        double at = seconds(now) + aheadSeconds;
        if (at - lastArrival < SESSION_GAP_SECONDS) {
            return 0;
        }
        return week.startRate(at, seconds(now));
    }

    private static boolean isReadable(ArrivalHistoryRecord stored) {
        return stored != null
                && stored.formatVersion() == FORMAT_VERSION
                && stored.gaps() != null
                && stored.gaps().length == GapHistogram.BUCKETS
                && stored.gapCallers() != null
                && stored.gapCallers().length == GapHistogram.BUCKETS
                && hasValidIndexes(stored.hours(), stored.hourWeights(), WeekProfile.HOURS)
                && hasValidIndexes(stored.startSlots(), stored.startWeights(), WeekProfile.SLOTS);
    }

    private static boolean hasValidIndexes(int[] indexes, float[] weights, int size) {
        return indexes != null
                && weights != null
                && indexes.length == weights.length
                && IntStream.of(indexes).allMatch(index -> index >= 0 && index < size);
    }

    private static int[] nonZeroIndexes(double[] weights) {
        return IntStream.range(0, weights.length).filter(i -> (float) weights[i] > 0).toArray();
    }

    private static float[] select(double[] weights, int[] indexes) {
        float[] chosen = new float[indexes.length];
        for (int i = 0; i < indexes.length; i++) {
            chosen[i] = (float) weights[indexes[i]];
        }
        return chosen;
    }

    private static double[] expand(int[] indexes, float[] weights, int size) {
        double[] all = new double[size];
        for (int i = 0; i < indexes.length; i++) {
            all[indexes[i]] = weights[i];
        }
        return all;
    }

    private static double seconds(Instant instant) {
        return instant.toEpochMilli() / MILLIS_PER_SECOND;
    }
}
