package org.tarragonlug.soak;

import java.util.Optional;
import java.util.Random;

/**
 * How a server treats a stream, drawn at random.
 *
 * @param silentBeforeEvent event before which the server is silent, as with a preempted request; 0
 *     for none
 * @param silenceMillis for how long
 * @param refusal how it refuses to go on with a stream that another server has begun; empty if it
 *     goes on
 */
record StreamTreatment(
        int silentBeforeEvent, int silenceMillis, Optional<ResumptionRefusal> refusal) {
    /** The treatment by a server without faults. */
    static final StreamTreatment SOUND = new StreamTreatment(0, 0, Optional.empty());

    private static final int SILENT_PERCENT = 30;
    private static final int LATEST_SILENT_EVENT = 6;
    private static final int SHORTEST_SILENCE_MILLIS = 600;
    private static final int LONGEST_SILENCE_MILLIS = 3000;

    static StreamTreatment draw(Random random) {
        boolean silent = SoakRandom.percent(random, SILENT_PERCENT);
        int event = SoakRandom.between(random, 1, LATEST_SILENT_EVENT);
        int silence = SoakRandom.between(random, SHORTEST_SILENCE_MILLIS, LONGEST_SILENCE_MILLIS);
        return new StreamTreatment(silent ? event : 0, silence, ResumptionRefusal.draw(random));
    }
}
