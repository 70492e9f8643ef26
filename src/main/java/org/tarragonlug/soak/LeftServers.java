package org.tarragonlug.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds requests that reach a server long after the store has acknowledged that it leaves. Times
 * are milliseconds of one clock.
 */
final class LeftServers {
    /** Time in which requests may still reach a server that leaves, from the pages. */
    static final long DRAIN_MILLIS = 2000;

    private final GatewayStability stability;
    private final Map<String, Long> acknowledgedMillis = new HashMap<>();
    private final Map<String, Long> beforeRestore = new HashMap<>();

    LeftServers(GatewayStability stability) {
        this.stability = stability;
    }

    /** Records that the store has acknowledged that a server leaves. */
    void onStored(String server, long millis) {
        acknowledgedMillis.putIfAbsent(server, millis);
        beforeRestore.remove(server);
    }

    /** Records that the store has returned from a copy, and may have lost what it has written. */
    void onRestored() {
        beforeRestore.putAll(acknowledgedMillis);
        acknowledgedMillis.clear();
    }

    /** Returns what is wrong with a request that reaches a server. */
    Optional<String> onArrival(String server, int gateway, long millis) {
        Long acknowledged = acknowledgedMillis.getOrDefault(server, beforeRestore.get(server));
        if (acknowledged == null
                || !stability.mustKnow(gateway, acknowledged, DRAIN_MILLIS, millis)) {
            return Optional.empty();
        }
        long late = millis - acknowledged;
        return Optional.of(
                "at " + server + " from gateway " + gateway + " " + late + " ms after it left");
    }
}
