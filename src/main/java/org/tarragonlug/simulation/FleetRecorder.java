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
        private double owed;
        private double earned;
        private double heldUntried;
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

        double worthShare() {
            return owed == 0 ? 1 : earned / owed;
        }

        /** Returns the worth of unserved requests that were held without reaching a server. */
        double heldShare() {
            return owed == 0 ? 0 : heldUntried / owed;
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

    /** Returns the worth of the worst window with its neighbour, as a share of what was owed. */
    double worstWindow() {
        return windows.values().stream()
                .mapToDouble(Counts::worthShare)
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
        double full = request.worth(request.profile.worth());
        counts.owed += full;
        if (end == End.IN_TARGET) {
            counts.earned += full;
        } else if (end == End.LATE) {
            counts.earned += request.worth(request.profile.lateWorth());
        } else if (!request.offeredInTime) {
            counts.heldUntried += full * heldShare(request);
        }
        if (request.firstEventAt != null) {
            counts.firstEventMillis.recordValue(
                    Duration.between(request.arrivedAt, request.firstEventAt).toMillis());
        }
    }

    /** Grows from 0 at an eighth of the target to 1 at three quarters of the time there was. */
    private static double heldShare(CallerRequest request) {
        double held = request.held.toMillis();
        double from = request.profile.target().toMillis() / 8.0;
        double to = request.profile.timeout().toMillis() * 0.75;
        return Math.max(0, Math.min(1, (held - from) / (to - from)));
    }

    /** Counts why an instance ended a request without the answer of a server. */
    void countOutcome(RequestProfile profile, Enum<?> reason) {
        outcomes.merge(profile.name() + " " + reason, 1, Integer::sum);
    }

    void print(PrintStream output) {
        output.println(
                "| kind | asked | in target | late | refused | failed | left | worth"
                        + " | held | first event p50 ms | p90 | p99 |");
        kinds.forEach((name, counts) -> print(name, counts, output));
        print("all", all, output);
        StringBuilder line = new StringBuilder("worth by window of 2 s:");
        windows.forEach(
                (window, counts) -> line.append(String.format(" %.2f", counts.worthShare())));
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
                counts.worthShare(),
                counts.heldShare(),
                counts.firstEventMillis(50),
                counts.firstEventMillis(90),
                counts.firstEventMillis(99));
    }
}
