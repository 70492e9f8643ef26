package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ArtifactId;

class DefaultKeepWarmPolicyTest {
    private static final ArtifactId MODEL = ArtifactId.parse("model");
    private static final Instant MONDAY = Instant.parse("2026-01-05T00:00:00Z");
    private static final Duration COLD_START = Duration.ofSeconds(20);

    @Nested
    class AgainstKeepingAllGaps {
        /** Width of a bucket, and twice the error of its middle, as a factor. */
        private static final double BUCKET_ERROR = Math.pow(2, 0.25);

        /** Guards against a keep time whose cost is not the least, by more than a bucket. */
        @Test
        void costIsTheLeastOfAllTimes() {
            Random random = new Random(42);
            for (int round = 0; round < 300; round++) {
                GapHistogram histogram = emptyHistogram();
                List<double[]> gaps = new ArrayList<>();
                double now = 0;
                double spread = 1 + 3 * random.nextDouble();
                for (int i = 1 + random.nextInt(200); i > 0; i--) {
                    double gap = Math.exp(4 + spread * random.nextGaussian());
                    gap = Math.max(1, Math.min(gap, 900_000));
                    now += gap;
                    int callers = 1 + random.nextInt(20);
                    histogram.add(gap, now);
                    histogram.addCallers(gap, callers, now);
                    gaps.add(new double[] {gap, now, callers});
                }
                double cost = Math.exp(8 * random.nextDouble());
                double chosen = cost(gaps, now, keepSeconds(histogram, cost), cost);
                double least = cost(gaps, now, 0, cost);
                for (double[] gap : gaps) {
                    least = Math.min(least, cost(gaps, now, gap[0], cost));
                }
                assertTrue(
                        chosen <= least * BUCKET_ERROR,
                        "seed=42 round=" + round + " chosen=" + chosen + " least=" + least);
            }
        }

        /**
         * Guards against a minimum that is not exact for gaps that the buckets represent exactly.
         */
        @Test
        void costIsExactlyTheLeastForGapsInTheMiddleOfBuckets() {
            Random random = new Random(44);
            for (int round = 0; round < 300; round++) {
                GapHistogram histogram = emptyHistogram();
                List<double[]> gaps = new ArrayList<>();
                for (int i = 1 + random.nextInt(30); i > 0; i--) {
                    double gap = Math.pow(2, (random.nextInt(80) + 0.5) / 4);
                    histogram.add(gap, 0);
                    histogram.addCallers(gap, 1, 0);
                    gaps.add(new double[] {gap, 0, 1});
                }
                double cost = Math.exp(12 * random.nextDouble());
                double chosen = cost(gaps, 0, keepSeconds(histogram, cost), cost);
                double least = cost(gaps, 0, 0, cost);
                for (int border = 1; border < 84; border++) {
                    least = Math.min(least, cost(gaps, 0, Math.pow(2, border / 4.0), cost));
                }
                assertEquals(least, chosen, least * 1e-9, "seed=44 round=" + round);
            }
        }

        /** Guards against a plan that loads again at a worse time than another one. */
        @Test
        void loadingAgainIsAsCheapAsTheBestOfAllTimes() {
            Random random = new Random(45);
            int reloads = 0;
            for (int round = 0; round < 100; round++) {
                GapHistogram histogram = emptyHistogram();
                List<double[]> gaps = new ArrayList<>();
                for (int i = 1 + random.nextInt(10); i > 0; i--) {
                    double gap = Math.pow(2, (12 + random.nextInt(30) + 0.5) / 4);
                    int callers = 1 + random.nextInt(5);
                    histogram.add(gap, 0);
                    histogram.addCallers(gap, callers, 0);
                    gaps.add(new double[] {gap, 0, callers});
                }
                double cost = Math.exp(8 * random.nextDouble());
                double reloadCost = 10 * random.nextDouble();
                double least = Double.POSITIVE_INFINITY;
                for (int first = 0; first < 46; first++) {
                    double keep = GapHistogram.lowerSeconds(first);
                    least = Math.min(least, cost(gaps, keep, 0, 0, cost, reloadCost));
                    for (int from = first + 1; from < 45; from++) {
                        for (int to = from + 1; to < 46; to++) {
                            double load = GapHistogram.lowerSeconds(from);
                            double unload = GapHistogram.lowerSeconds(to);
                            least =
                                    Math.min(
                                            least,
                                            cost(gaps, keep, load, unload, cost, reloadCost));
                        }
                    }
                }
                double planned = histogram.plan(cost, reloadCost).expectedCost();
                String label = "seed=45 round=" + round;
                assertTrue(planned <= least * (1 + 1e-9), label + " " + planned + " " + least);
                GapPlan plan = histogram.plan(cost, reloadCost);
                double followed = 0;
                for (double[] gap : gaps) {
                    followed += followedCost(plan, gap[0], cost * gap[2], reloadCost);
                }
                assertEquals(followed, planned, followed * 1e-9, label);
                double keepOnly = histogram.plan(cost, Double.POSITIVE_INFINITY).expectedCost();
                reloads += planned < keepOnly * (1 - 1e-9) ? 1 : 0;
            }
            assertTrue(reloads > 20, "too few rounds loaded again: " + reloads);
        }

        /** What one gap costs when the plan is followed from border to border. */
        private double followedCost(GapPlan plan, double gap, double coldCost, double reload) {
            double idle = 0;
            boolean loaded = true;
            for (int bucket = 0; bucket < GapHistogram.BUCKETS - 1; bucket++) {
                double lower = GapHistogram.lowerSeconds(bucket);
                double middle = GapHistogram.middleSeconds(bucket);
                double upper = GapHistogram.lowerSeconds(bucket + 1);
                if (!loaded && plan.loadDue(middle)) {
                    loaded = true;
                    idle += reload;
                } else if (loaded) {
                    loaded = plan.keepSeconds(middle) > middle;
                }
                if (gap < upper) {
                    return idle + (loaded ? gap - lower : coldCost);
                }
                idle += loaded ? upper - lower : 0;
            }
            return idle + coldCost;
        }

        /** Sum over all gaps when loaded until {@code keep}, and again from load to unload. */
        private double cost(
                List<double[]> gaps,
                double keep,
                double load,
                double unload,
                double cost,
                double reloadCost) {
            double sum = 0;
            for (double[] gap : gaps) {
                boolean loaded = gap[0] < keep || (gap[0] > load && gap[0] < unload);
                sum += Math.min(gap[0], keep) + (loaded ? 0 : cost * gap[2]);
                if (gap[0] > load && unload > load) {
                    sum += reloadCost + Math.min(gap[0], unload) - load;
                }
            }
            return sum;
        }

        private double keepSeconds(GapHistogram histogram, double cost) {
            return histogram.plan(cost, Double.POSITIVE_INFINITY).keepSeconds(0);
        }

        private GapHistogram emptyHistogram() {
            double[] none = new double[GapHistogram.BUCKETS];
            return new GapHistogram(none, none, 0);
        }

        private double cost(List<double[]> gaps, double now, double keep, double cost) {
            double sum = 0;
            double weights = 0;
            for (double[] gap : gaps) {
                double weight = Math.pow(2, (gap[1] - now) / GapHistogram.HALF_LIFE_SECONDS);
                weights += weight;
                sum += weight * (Math.min(gap[0], keep) + (gap[0] > keep ? cost * gap[2] : 0));
            }
            return sum / weights;
        }
    }

    @Nested
    class RecurringLessons {
        private final DefaultKeepWarmPolicy policy = new DefaultKeepWarmPolicy(artifact -> 1);

        private void teachWeeks(int weeks) {
            for (int week = 0; week < weeks; week++) {
                Instant start = MONDAY.plus(Duration.ofDays(7 * week)).plus(Duration.ofHours(10));
                for (int minute = 0; minute < 50; minute++) {
                    policy.recordArrivals(MODEL, 20, start.plus(Duration.ofMinutes(minute)));
                }
            }
        }

        /** Guards against prewarming too late, all day, or on the wrong day. */
        @Test
        void arePrewarmedOnlyAroundTheirStart() {
            teachWeeks(3);
            Instant monday = MONDAY.plus(Duration.ofDays(21));
            assertTrue(prewarm(monday.plus(Duration.ofMinutes(10 * 60 - 1))));
            assertFalse(prewarm(monday.plus(Duration.ofMinutes(9 * 60 + 30))));
            assertFalse(prewarm(monday.plus(Duration.ofMinutes(10 * 60 + 30))));
            assertFalse(prewarm(monday.plus(Duration.ofDays(6)).plus(Duration.ofHours(10))));
        }

        /** Guards against unloading a prewarmed model at once because its last request is old. */
        @Test
        void keepAPrewarmedModelUntilTheStartHasPassed() {
            teachWeeks(3);
            Instant before = MONDAY.plus(Duration.ofDays(21)).plus(Duration.ofMinutes(599));
            assertTrue(before.plus(Duration.ofSeconds(1)).isBefore(keptUntil(before)));
            Instant after = before.plus(Duration.ofMinutes(20));
            assertTrue(keptUntil(after).isBefore(after));
        }

        private Instant keptUntil(Instant now) {
            Instant last = MONDAY.plus(Duration.ofDays(14)).plus(Duration.ofMinutes(649));
            return last.plus(policy.keepFor(MODEL, COLD_START, 10, now));
        }

        private boolean prewarm(Instant now) {
            return policy.shouldPrewarm(MODEL, COLD_START, 10, now);
        }

        /** Guards against unloading the model that is about to be wanted under memory pressure. */
        @Test
        void areWorthMoreBeforeTheirStart() {
            teachWeeks(3);
            Instant before = MONDAY.plus(Duration.ofDays(21)).plus(Duration.ofMinutes(595));
            double soon = policy.expectedBenefit(MODEL, COLD_START, 10, before);
            Instant night = before.plus(Duration.ofHours(12));
            assertTrue(soon > policy.expectedBenefit(MODEL, COLD_START, 10, night));
        }
    }

    @Nested
    class RegularGaps {
        private final DefaultKeepWarmPolicy policy = new DefaultKeepWarmPolicy(artifact -> 1);
        private Instant last = MONDAY;

        private void predictEveryFiveMinutes() {
            for (int i = 0; i < 200; i++) {
                last = last.plus(Duration.ofSeconds(i % 20 == 0 ? 40_000 : 300));
                policy.recordArrivals(MODEL, 1, last);
            }
        }

        /** Guards against idling through every gap, and against a load too late for its end. */
        @Test
        void areSpentUnloadedUntilShortlyBeforeTheirEnd() {
            predictEveryFiveMinutes();
            Duration kept = policy.keepFor(MODEL, COLD_START, 20, last.plusSeconds(2));
            assertTrue(kept.compareTo(Duration.ofSeconds(30)) < 0, "kept " + kept);
            assertFalse(policy.shouldPrewarm(MODEL, COLD_START, 20, last.plusSeconds(120)));
            assertTrue(policy.shouldPrewarm(MODEL, COLD_START, 20, last.plusSeconds(270)));
            assertFalse(policy.shouldPrewarm(MODEL, COLD_START, 20, last.plusSeconds(600)));
        }

        /** Guards against unloading at once what was loaded for the end of the gap. */
        @Test
        void keepTheModelOnceLoadedUntilTheEndHasPassed() {
            predictEveryFiveMinutes();
            Duration kept = policy.keepFor(MODEL, COLD_START, 20, last.plusSeconds(270));
            assertTrue(kept.compareTo(Duration.ofSeconds(300)) > 0, "kept " + kept);
            assertTrue(kept.compareTo(Duration.ofSeconds(400)) < 0, "kept " + kept);
        }
    }

    @Nested
    class StoredHistories {
        private final DefaultKeepWarmPolicy policy = new DefaultKeepWarmPolicy(artifact -> 1);
        private final DefaultKeepWarmPolicy restored = new DefaultKeepWarmPolicy(artifact -> 1);
        private Instant now = MONDAY;

        private void learn() {
            Random random = new Random(43);
            for (int i = 0; i < 2_000; i++) {
                now = now.plus(Duration.ofSeconds(random.nextInt(random.nextInt(5_000) + 1)));
                policy.recordArrivals(MODEL, 1 + random.nextInt(5), now);
            }
        }

        /** Guards against a decider that forgets or changes what its predecessor learnt. */
        @Test
        void decideTheSameAfterRestoring() {
            learn();
            restored.restore(policy.toRecords(now), now);
            for (int hour = 0; hour < 168; hour++) {
                Instant later = now.plus(Duration.ofHours(hour));
                assertEquals(
                        policy.keepFor(MODEL, COLD_START, 10, later),
                        restored.keepFor(MODEL, COLD_START, 10, later));
                assertEquals(
                        policy.expectedBenefit(MODEL, COLD_START, 10, later),
                        restored.expectedBenefit(MODEL, COLD_START, 10, later),
                        1e-4);
            }
        }

        /** Guards against a failure at start when a later release wrote the history. */
        @Test
        void startEmptyFromAnUnknownVersionOrAMalformedRecord() {
            learn();
            ArrivalHistoryRecord known = policy.toRecords(now).get(MODEL);
            for (ArrivalHistoryRecord bad :
                    List.of(
                            with(known, ArrivalHistory.FORMAT_VERSION + 1, known.gaps()),
                            with(known, ArrivalHistory.FORMAT_VERSION, null),
                            with(known, ArrivalHistory.FORMAT_VERSION, new float[3]))) {
                restored.restore(Map.of(MODEL, bad), now);
                assertEquals(Duration.ofSeconds(200), restored.keepFor(MODEL, COLD_START, 10, now));
                restored.recordArrivals(MODEL, 1, now);
            }
        }

        private ArrivalHistoryRecord with(ArrivalHistoryRecord known, int version, float[] gaps) {
            return new ArrivalHistoryRecord(
                    version,
                    known.since(),
                    known.writtenAt(),
                    known.lastArrival(),
                    known.callersPerStart(),
                    gaps,
                    known.gapCallers(),
                    known.hours(),
                    known.hourWeights(),
                    known.startSlots(),
                    known.startWeights());
        }
    }
}
