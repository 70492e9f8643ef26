package org.tarragonlug.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The faults of a run, drawn from a seed. The run has phases with one or two concurrent faults, and
 * a pause after each phase. The same seed and length always give the same schedule, but the
 * behaviour of the system between two faults depends on timing and does not repeat exactly.
 */
final class FaultSchedule {
    private static final int SHORTEST_FAULT_MILLIS = 500;
    private static final int LONGEST_FAULT_MILLIS = 4000;
    private static final int MAXIMUM_SECOND_FAULT_DELAY_MILLIS = 600;
    private static final int SHORTEST_QUIET_MILLIS = 300;
    private static final int LONGEST_QUIET_MILLIS = 1500;

    private final List<PlannedFault> faults = new ArrayList<>();

    /**
     * Draws a schedule.
     *
     * @param seed seed of all random choices
     * @param lengthMillis length of the run; all faults end by then
     */
    FaultSchedule(long seed, long lengthMillis) {
        Random random = new Random(seed);
        long start = randomBetween(random, SHORTEST_QUIET_MILLIS, LONGEST_QUIET_MILLIS);
        while (start + SHORTEST_FAULT_MILLIS <= lengthMillis) {
            PlannedFault first = draw(random, start, lengthMillis);
            faults.add(first);
            long end = first.endMillis();
            if (random.nextBoolean()) {
                long secondStart = start + random.nextInt(MAXIMUM_SECOND_FAULT_DELAY_MILLIS);
                PlannedFault second = draw(random, secondStart, lengthMillis);
                boolean fits = secondStart + SHORTEST_FAULT_MILLIS <= lengthMillis;
                if (fits && second.kind() != first.kind()) {
                    faults.add(second);
                    end = Math.max(end, second.endMillis());
                }
            }
            start = end + randomBetween(random, SHORTEST_QUIET_MILLIS, LONGEST_QUIET_MILLIS);
        }
    }

    private static PlannedFault draw(Random random, long start, long lengthMillis) {
        FaultKind[] kinds = FaultKind.values();
        FaultKind kind = kinds[random.nextInt(kinds.length)];
        long end = start + randomBetween(random, SHORTEST_FAULT_MILLIS, LONGEST_FAULT_MILLIS);
        return new PlannedFault(kind, start, Math.min(end, lengthMillis), random.nextLong());
    }

    private static long randomBetween(Random random, int minimum, int maximum) {
        return minimum + random.nextInt(maximum - minimum + 1);
    }

    /** Returns the faults in the order of the phases, ordered by start time within each phase. */
    List<PlannedFault> faults() {
        return List.copyOf(faults);
    }
}
