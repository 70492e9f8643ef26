package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells at which moments the bounds of the rules hold for a gateway: only if for the time in which
 * it has to become stable its process ran undisturbed and the store was not impaired. Times are
 * milliseconds of one clock.
 */
final class GatewayStability {
    /** How long a gateway and the store must be undisturbed, from the pages. */
    static final long STABLE_MILLIS = 3000;

    /** By how much an impaired store lengthens the time to apply a configuration, at most. */
    private static final long LONGEST_STRETCH_MILLIS = 5000;

    private record Event(int gateway, long millis) {}

    private final GatewayPauses pauses;
    private final List<Event> events = new ArrayList<>();
    private final ImpairedTimes impaired = new ImpairedTimes();
    private final ImpairedTimes hindered = new ImpairedTimes();

    GatewayStability(GatewayPauses pauses) {
        this.pauses = pauses;
    }

    /** Records a signal to a gateway or the start of its process. */
    void onGatewayDisturbed(int gateway, long millis) {
        events.add(new Event(gateway, millis));
    }

    /**
     * Records that the store is impaired by one more or one less cause.
     *
     * @param hinders whether the store is away or slow, or rejects calls, by this cause
     */
    void onStoreImpaired(boolean begins, boolean hinders, long millis) {
        impaired.change(begins, millis);
        if (hinders) {
            hindered.change(begins, millis);
        }
    }

    private boolean isUndisturbed(int gateway, long millis) {
        long from = millis - STABLE_MILLIS;
        return pauses.overlap(gateway, from, millis) == 0
                && events.stream()
                        .filter(event -> event.gateway() == gateway)
                        .noneMatch(event -> event.millis() >= from && event.millis() <= millis);
    }

    /** Returns whether bounds hold for a gateway at a moment. */
    boolean isStable(int gateway, long millis) {
        return isUndisturbed(gateway, millis) && !impaired.overlap(millis - STABLE_MILLIS, millis);
    }

    /**
     * Returns whether a gateway must know at a moment what the store has acknowledged.
     *
     * @param boundMillis time that it has for that while the store is stable
     */
    boolean mustKnow(int gateway, long acknowledgedMillis, long boundMillis, long millis) {
        long late = millis - acknowledgedMillis - boundMillis;
        if (late <= 0) {
            return false;
        }
        boolean stretched =
                late > LONGEST_STRETCH_MILLIS
                        && isUndisturbed(gateway, millis)
                        && !hindered.overlap(acknowledgedMillis, millis);
        return stretched || isStable(gateway, millis);
    }
}
