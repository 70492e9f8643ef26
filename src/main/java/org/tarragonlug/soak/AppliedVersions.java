package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Finds requests that are handled as only a version of the configuration allows that is no longer
 * in force, or that their gateway had left before. Each version adds a route and drops an older
 * one, so each outcome of a request on such a route tells which versions allow it. Times are
 * milliseconds of one clock.
 */
final class AppliedVersions {
    /** Versions in which a route exists: the one that adds it and those just after. */
    private static final int VERSIONS_OF_A_ROUTE = 3;

    /** Time in which a version must be applied, from the pages. */
    static final long APPLY_MILLIS = 2000;

    /** How long after an effect of a version an older one may show, from the pages. */
    static final long ROLLBACK_MILLIS = 250;

    /** By how much that is longer at a gateway that was paused. */
    private static final int PAUSED_FACTOR = 8;

    /** What the present process of a gateway has shown. */
    private static final class ProcessHistory {
        final long startMillis;
        final TreeMap<Integer, Long> shownMillis = new TreeMap<>();

        ProcessHistory(long startMillis) {
            this.startMillis = startMillis;
        }
    }

    private final GatewayStability stability;
    private final GatewayPauses pauses;

    /** Since when the store has held a version or a newer one. */
    private final TreeMap<Integer, Long> heldMillis = new TreeMap<>();

    private final Map<Integer, ProcessHistory> processes = new HashMap<>();
    private int newestSent;

    AppliedVersions(GatewayStability stability, GatewayPauses pauses) {
        this.stability = stability;
        this.pauses = pauses;
    }

    /** Returns the versions whose routes a version has. */
    static List<Integer> routesOf(int version) {
        int first = Math.max(1, version - VERSIONS_OF_A_ROUTE + 1);
        return IntStream.rangeClosed(first, version).boxed().toList();
    }

    /** Records that the operator begins to write a version. */
    void onSent(int version) {
        newestSent = Math.max(newestSent, version);
    }

    /** Records that the store has acknowledged a version. */
    void onStored(int version, long millis) {
        for (int each = 1; each <= version; each++) {
            heldMillis.putIfAbsent(each, millis);
        }
    }

    /** Records that the store has returned from a copy that holds a version. */
    void onRestored(int version) {
        heldMillis.tailMap(version, false).clear();
    }

    /** Records that a gateway has a new process. */
    void onStarted(int gateway, long millis) {
        processes.put(gateway, new ProcessHistory(millis));
    }

    /** Records that a server runs a request on the route of a version; returns what is wrong. */
    Optional<String> onRun(int gateway, int route, long sentMillis, long millis) {
        int newest = route + VERSIONS_OF_A_ROUTE - 1;
        Optional<String> wrong = judge(gateway, newest, sentMillis, "run on route " + route);
        ProcessHistory process = processes.get(gateway);
        if (process != null && sentMillis >= process.startMillis) {
            process.shownMillis.putIfAbsent(route, millis);
        }
        return wrong;
    }

    /** Records a request whose route its gateway did not know; returns what is wrong. */
    Optional<String> onNotFound(int gateway, int route, long sentMillis) {
        boolean mayBeDropped = newestSent >= route + VERSIONS_OF_A_ROUTE;
        return !mayBeDropped
                ? judge(gateway, route - 1, sentMillis, "404 on route " + route)
                : Optional.empty();
    }

    private Optional<String> judge(int gateway, int newest, long sentMillis, String outcome) {
        String text = outcome + " at gateway " + gateway + ", as version " + newest + " allows";
        List<String> wrong = new ArrayList<>();
        Map.Entry<Integer, Long> due = heldMillis.higherEntry(newest);
        if (due != null && stability.mustKnow(gateway, due.getValue(), APPLY_MILLIS, sentMillis)) {
            long age = sentMillis - due.getValue();
            wrong.add("version " + due.getKey() + " stored " + age + " ms before the request");
        }
        if (hasShownNewer(gateway, newest, sentMillis)) {
            wrong.add("its process has shown a newer version before");
        }
        return wrong.isEmpty() ? Optional.empty() : Optional.of(text + ": " + wrong);
    }

    private boolean hasShownNewer(int gateway, int newest, long sentMillis) {
        ProcessHistory process = processes.get(gateway);
        if (process == null || sentMillis < process.startMillis) {
            return false;
        }
        boolean paused =
                pauses.overlap(gateway, sentMillis - GatewayStability.STABLE_MILLIS, sentMillis)
                        > 0;
        long slack = ROLLBACK_MILLIS * (paused ? PAUSED_FACTOR : 1);
        return process.shownMillis.tailMap(newest, false).values().stream()
                .anyMatch(shown -> sentMillis > shown + slack);
    }
}
