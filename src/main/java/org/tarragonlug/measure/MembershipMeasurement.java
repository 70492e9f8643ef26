package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.configuration.Configuration;

/**
 * Compares failure detectors in virtual time, and measures how long a changed configuration takes
 * to be installed at all members.
 *
 * <p>The network has 5 failure domains in 2 regions. One-way latency is 0.5 ms within a domain, 1.5
 * ms within a region and 30 ms between regions, plus jitter, and one message in a thousand is
 * retransmitted. The members' clocks deviate from the true time by up to 100 ms.
 */
public final class MembershipMeasurement {
    private static final int[] SIZES = {8, 100, 410};
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final int CONFIGURATION_CHANGES = 30;
    private static final int ROUTES = 300;
    private static final int WATCHERS_PER_DOMAIN = 2;

    /** Time between configuration changes: 12,000 changes a day are one in 7.2 s. */
    private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(7);

    private static final int MEMBERS_FOR_CHANGES = 410;

    private MembershipMeasurement() {}

    /**
     * Runs all scenarios and prints their tables.
     *
     * @param seed seed of the simulation; the same seed gives the same results
     * @param out receives the tables
     */
    public static void run(long seed, PrintStream out) {
        out.printf("seed=%d sizes=8,100,410 baseline=heartbeats to all, ring with leader%n", seed);
        out.println(
                "| configuration changes | members | p50 s | p99 s | max s | missing | B/s mean |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        measureConfiguration("all domains watch", VirtualCluster.DOMAINS, seed, out);
        measureConfiguration("one domain watches", 1, seed, out);
        out.println();
        out.println(
                "| scenario | members | detector | detection p50 s | p99 s | max s | undetected"
                        + " | false alarms (members) | wrong at end | B/s mean | B/s busiest |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (MembershipScenario scenario : MembershipScenario.values()) {
            for (int size : SIZES) {
                for (DetectorKind kind : DetectorKind.values()) {
                    measure(scenario, size, kind, seed, out);
                }
            }
        }
    }

    /** Runs one scenario, prints its row of the table and returns the recorded detections. */
    static DetectionRecord measure(
            MembershipScenario scenario, int size, DetectorKind kind, long seed, PrintStream out) {
        DetectionRecord record = new DetectionRecord(size);
        VirtualCluster cluster = new VirtualCluster(size, kind, seed, record);
        cluster.run(WARM_UP);
        cluster.traffic().reset();
        long start = cluster.micros();
        scenario.run(cluster, record, kind);
        Histogram detections = record.detections();
        boolean anyDetected = detections.getTotalCount() > 0;
        out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %s | %s | %s | %s | %d (%d) | %d | %d | %d |%n",
                scenario.text(),
                size,
                kind.text(),
                anyDetected ? seconds(detections.getValueAtPercentile(50)) : "-",
                anyDetected ? seconds(detections.getValueAtPercentile(99)) : "-",
                anyDetected ? seconds(detections.getMaxValue()) : "-",
                record.expectedDetections() == 0
                        ? "-"
                        : Long.toString(record.expectedDetections() - detections.getTotalCount()),
                record.falseAlarms(),
                record.wronglyRemovedCount(),
                record.wronglyRemovedPairs(cluster),
                cluster.traffic().meanBytesPerSecond(cluster.micros() - start),
                cluster.traffic().maximumBytesPerSecond());
        out.flush();
        return record;
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.2f", micros / MICROS_PER_SECOND);
    }

    private static void measureConfiguration(
            String name, int watchingDomains, long seed, PrintStream out) {
        int size = MEMBERS_FOR_CHANGES;
        Histogram times = new Histogram(3_600_000_000L, 3);
        List<Long> storedAt = new ArrayList<>();
        VirtualCluster.Observer observer =
                new VirtualCluster.Observer() {
                    @Override
                    public void onConfigurationInstalled(int member, long version, long micros) {
                        if (version > 1) {
                            times.recordValue(
                                    Math.max(0, micros - storedAt.get((int) version - 2)));
                        }
                    }
                };
        VirtualCluster cluster =
                new VirtualCluster(size, DetectorKind.RANDOM_PROBE, seed, observer);
        Configuration current = SampleTables.configuration(1, ROUTES);
        cluster.configurationHolders().enable(current);
        cluster.run(WARM_UP);
        cluster.traffic().reset();
        long start = cluster.micros();
        for (int change = 0; change < CONFIGURATION_CHANGES; change++) {
            current = SampleTables.withChangedRate(current, change);
            storedAt.add(cluster.micros());
            cluster.configurationHolders().store(current, WATCHERS_PER_DOMAIN, watchingDomains);
            cluster.run(CHANGE_INTERVAL);
        }
        out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %s | %s | %d | %d |%n",
                name,
                size,
                seconds(times.getValueAtPercentile(50)),
                seconds(times.getValueAtPercentile(99)),
                seconds(times.getMaxValue()),
                (long) CONFIGURATION_CHANGES * size - times.getTotalCount(),
                cluster.traffic().meanBytesPerSecond(cluster.micros() - start));
        out.flush();
    }
}
