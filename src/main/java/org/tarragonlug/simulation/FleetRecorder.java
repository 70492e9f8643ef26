package org.tarragonlug.simulation;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.forwarding.Rejection;

/** Counts how the requests of a simulation end, by kind and by time of arrival. */
final class FleetRecorder {
    private static final int WINDOW_SECONDS = 2;

    /** How a request ended for its caller. */
    enum End {
        IN_TARGET,
        LATE,
        REFUSED,
        FAILED,
        ABANDONED
    }

    /** The counts for one kind of request, or for one window of time. */
    static final class Counts {
        private final int[] ends = new int[End.values().length];
        private double askedValue;
        private double servedValue;
        private double heldValue;
        private final Histogram firstEventMillis = new Histogram(3);

        int of(End end) {
            return ends[end.ordinal()];
        }

        int total() {
            int sum = 0;
            for (int count : ends) {
                sum += count;
            }
            return sum;
        }

        double valueShare() {
            return askedValue == 0 ? 1 : servedValue / askedValue;
        }

        /**
         * Returns the share of the value whose requests were held past their target, never sent.
         */
        double heldShare() {
            return askedValue == 0 ? 0 : heldValue / askedValue;
        }

        long firstEventMillis(double percentile) {
            return firstEventMillis.getValueAtPercentile(percentile);
        }
    }

    private final Instant start;
    private final Map<String, Counts> kinds = new LinkedHashMap<>();
    private final TreeMap<Long, Counts> windows = new TreeMap<>();
    private final Counts all = new Counts();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<Rejection, Integer> rejectionKinds = new EnumMap<>(Rejection.class);
    int sends;
    int rejections;

    FleetRecorder(Instant start) {
        this.start = start;
    }

    Counts all() {
        return all;
    }

    Counts kind(String name) {
        return kinds.computeIfAbsent(name, each -> new Counts());
    }

    /** Counts a send that a server, or the lack of a connection to it, rejected. */
    void countRejection(Rejection rejection) {
        rejections++;
        rejectionKinds.merge(rejection, 1, Integer::sum);
    }

    /** Returns the mean share of the value that the two worst windows served. */
    double worstWindow() {
        return windows.values().stream()
                .mapToDouble(Counts::valueShare)
                .sorted()
                .limit(2)
                .average()
                .orElse(1);
    }

    void record(CallerRequest request, End end) {
        long window = Duration.between(start, request.arrivedAt).toSeconds() / WINDOW_SECONDS;
        add(all, request, end);
        add(kind(request.profile.name()), request, end);
        add(windows.computeIfAbsent(window, each -> new Counts()), request, end);
    }

    private static void add(Counts counts, CallerRequest request, End end) {
        counts.ends[end.ordinal()]++;
        double full = request.value(request.profile.value());
        counts.askedValue += full;
        if (end == End.IN_TARGET) {
            counts.servedValue += full;
        } else if (end == End.LATE) {
            counts.servedValue += request.value(request.profile.lateValue());
        } else if (!request.sentInTime && request.heldPastTarget()) {
            counts.heldValue += full;
        }
        if (request.firstEventAt != null) {
            counts.firstEventMillis.recordValue(
                    Duration.between(request.arrivedAt, request.firstEventAt).toMillis());
        }
    }

    /** Counts why an instance ended a request without the answer of a server. */
    void countOutcome(RequestProfile profile, Enum<?> reason) {
        outcomes.merge(profile.name() + " " + reason, 1, Integer::sum);
    }

    void print(PrintStream output) {
        output.println(
                "| kind | asked | in target | late | refused | failed | left | value"
                        + " | held | first event p50 ms | p90 | p99 |");
        kinds.forEach((name, counts) -> print(name, counts, output));
        print("all", all, output);
        StringBuilder line = new StringBuilder("value by window of 2 s:");
        windows.forEach(
                (window, counts) -> line.append(String.format(" %.2f", counts.valueShare())));
        output.println(line);
        output.println("ended by instances: " + outcomes);
        output.printf(
                "worst windows %.3f, sends %d, rejected %d (%.3f) %s%n",
                worstWindow(),
                sends,
                rejections,
                (double) rejections / Math.max(1, sends),
                rejectionKinds);
    }

    private static void print(String name, Counts counts, PrintStream output) {
        output.printf(
                "| %s | %d | %d | %d | %d | %d | %d | %.3f | %.3f | %d | %d | %d |%n",
                name,
                counts.total(),
                counts.of(End.IN_TARGET),
                counts.of(End.LATE),
                counts.of(End.REFUSED),
                counts.of(End.FAILED),
                counts.of(End.ABANDONED),
                counts.valueShare(),
                counts.heldShare(),
                counts.firstEventMillis(50),
                counts.firstEventMillis(90),
                counts.firstEventMillis(99));
    }
}
