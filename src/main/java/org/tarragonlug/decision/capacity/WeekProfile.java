package org.tarragonlug.decision.capacity;

/**
 * The weekly profile of the demand for an artifact: arrivals per hour of the week (168 buckets),
 * and session starts per five minutes of the week.
 *
 * <p>A session start is an arrival after {@link ArrivalHistory#SESSION_GAP_SECONDS} without one.
 * Only session starts are likely to find the artifact unloaded, and their position within the hour
 * matters: lessons start on the hour or half hour, and keeping an artifact loaded for the entire
 * hour costs up to 12 times as much as keeping it for five minutes.
 *
 * <p>Weights decay with a half-life of four weeks. With two weeks of history each slot has been
 * observed only twice, so the rate of a slot is combined with the rate of the same time on all
 * days. Weeks are counted from the epoch in UTC, because the countries of both deployments have no
 * daylight saving time.
 */
final class WeekProfile {
    static final int HOURS = 168;
    static final int SLOTS = 2016;
    static final double SLOT_SECONDS = 300;
    static final double HALF_LIFE_SECONDS = 28 * 86_400;

    private static final double WEEK_SECONDS = 604_800;
    private static final double HOUR_SECONDS = 3_600;
    private static final int SLOTS_PER_DAY = 288;
    private static final int DAYS = 7;
    private static final double RESCALE_EXPONENT = 64;

    /**
     * Weight of the daily pattern, in weeks: a slot with this many weeks of its own history counts
     * as much as the daily pattern.
     */
    private static final double DAILY_PATTERN_WEEKS = 0.5;

    private final double[] arrivals;
    private final double[] starts;
    private final double sinceSeconds;
    private double originSeconds;

    /**
     * Creates a profile.
     *
     * @param arrivals weight of each hour at the time of origin; copied
     * @param starts weight of each five-minute slot at the time of origin; copied
     * @param sinceSeconds start of the history, seconds since the epoch
     * @param originSeconds time of origin, at which an arrival has weight one, seconds since the
     *     epoch
     */
    WeekProfile(double[] arrivals, double[] starts, double sinceSeconds, double originSeconds) {
        this.arrivals = arrivals.clone();
        this.starts = starts.clone();
        this.sinceSeconds = sinceSeconds;
        this.originSeconds = originSeconds;
    }

    double sinceSeconds() {
        return sinceSeconds;
    }

    double[] arrivalsAt(double nowSeconds) {
        rescale(nowSeconds);
        return arrivals.clone();
    }

    double[] startsAt(double nowSeconds) {
        rescale(nowSeconds);
        return starts.clone();
    }

    void addArrivals(int count, double nowSeconds) {
        double weight = weight(nowSeconds);
        arrivals[(int) (weekSeconds(nowSeconds) / HOUR_SECONDS)] += count * weight;
    }

    void addStart(double nowSeconds) {
        double weight = weight(nowSeconds);
        starts[slot(nowSeconds)] += weight;
    }

    /** Returns the expected arrivals per second in the hour of the week that contains a time. */
    double arrivalRate(double atSeconds, double nowSeconds) {
        int hour = (int) (weekSeconds(atSeconds) / HOUR_SECONDS);
        double weight = weight(nowSeconds);
        return arrivals[hour] / weight / weeks(nowSeconds) / HOUR_SECONDS;
    }

    /**
     * Returns the expected session starts per second around a time. Each of the two neighbouring
     * slots counts half as much as the slot itself, because starts vary by a few minutes from week
     * to week.
     */
    double startRate(double atSeconds, double nowSeconds) {
        int slot = slot(atSeconds);
        double blended =
                0.5 * slotStarts(slot, nowSeconds)
                        + 0.25 * slotStarts(Math.floorMod(slot - 1, SLOTS), nowSeconds)
                        + 0.25 * slotStarts((slot + 1) % SLOTS, nowSeconds);
        return blended / SLOT_SECONDS;
    }

    private double slotStarts(int slot, double nowSeconds) {
        double weight = weight(nowSeconds);
        double sameTime = 0;
        for (int other = slot % SLOTS_PER_DAY; other < SLOTS; other += SLOTS_PER_DAY) {
            sameTime += starts[other];
        }
        double weeks = weeks(nowSeconds);
        double daily = sameTime / DAYS / weeks;
        double weighted = starts[slot] + DAILY_PATTERN_WEEKS * daily;
        return weighted / weight / (weeks + DAILY_PATTERN_WEEKS);
    }

    /** Returns the decayed length of the history in weeks, at least one. */
    private double weeks(double nowSeconds) {
        double meanLife = HALF_LIFE_SECONDS / Math.log(2);
        double age = Math.max(0, nowSeconds - sinceSeconds);
        return Math.max(1, meanLife * (1 - Math.exp(-age / meanLife)) / WEEK_SECONDS);
    }

    private double weight(double nowSeconds) {
        double exponent = (nowSeconds - originSeconds) / HALF_LIFE_SECONDS;
        if (exponent > RESCALE_EXPONENT) {
            rescale(nowSeconds);
            return 1;
        }
        return Math.pow(2, exponent);
    }

    private void rescale(double nowSeconds) {
        double factor = Math.pow(2, (originSeconds - nowSeconds) / HALF_LIFE_SECONDS);
        for (int hour = 0; hour < HOURS; hour++) {
            arrivals[hour] *= factor;
        }
        for (int slot = 0; slot < SLOTS; slot++) {
            starts[slot] *= factor;
        }
        originSeconds = nowSeconds;
    }

    private static int slot(double seconds) {
        return (int) (weekSeconds(seconds) / SLOT_SECONDS);
    }

    private static double weekSeconds(double seconds) {
        return seconds - WEEK_SECONDS * Math.floor(seconds / WEEK_SECONDS);
    }
}
