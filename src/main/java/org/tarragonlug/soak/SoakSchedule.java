package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of a soak, drawn from a seed: one series for servers, one for servers that stand
 * still, one for gateways, one for actions of an operator and one for the store; where the store
 * returns from older copies, one for that and one for what it may undo. Within a series faults
 * follow each other or overlap. The same seed and length give the same schedule; the timing of the
 * processes does not repeat.
 */
final class SoakSchedule {
    private static final int FIRST_MILLIS = 500;

    /** How much rarer servers stand still than they have other faults. */
    private static final int STANDSTILL_GAP_FACTOR = 4;

    /**
     * How much rarer actions of an operator are than other signals; each time there are several.
     */
    private static final int PLANNED_GAP_FACTOR = 2;

    /** How much more often there is something that a return may undo. */
    private static final int WRITES_OF_A_RESTORE = 4;

    private final List<PlannedFault> faults = new ArrayList<>();
    private final long lengthMillis;
    private final int gateways;

    /**
     * Draws a schedule.
     *
     * @param seed seed of all choices
     * @param lengthMillis length of the run; all faults end by then
     * @param gateways number of gateways
     * @param shape how often there are faults
     */
    SoakSchedule(long seed, long lengthMillis, int gateways, FaultShape shape) {
        this.lengthMillis = lengthMillis;
        this.gateways = gateways;
        add(seed, SoakFaultKind.Target.SERVER, shape.longestServerGapMillis());
        int standstillGap = STANDSTILL_GAP_FACTOR * shape.longestServerGapMillis();
        add(seed, SoakFaultKind.Target.STANDSTILL, standstillGap);
        add(seed, SoakFaultKind.Target.GATEWAY, shape.longestGatewayGapMillis());
        int plannedGap = PLANNED_GAP_FACTOR * shape.longestGatewayGapMillis();
        add(seed, SoakFaultKind.Target.OPERATOR_ACTION, plannedGap);
        add(seed, SoakFaultKind.Target.STORE, shape.longestStoreGapMillis());
        if (shape.restoresStore()) {
            int restoreGap = shape.longestRestoreGapMillis();
            add(seed, SoakFaultKind.Target.STORE_RESTORE, restoreGap);
            int writeGap = 1 + restoreGap / WRITES_OF_A_RESTORE;
            add(seed, SoakFaultKind.Target.AROUND_RESTORE, writeGap);
        }
        faults.sort(Comparator.comparingLong(PlannedFault::startMillis));
    }

    private void add(long seed, SoakFaultKind.Target target, int longestGap) {
        Random random = SoakRandom.of(seed, target.name());
        SoakFaultKind[] kinds =
                Arrays.stream(SoakFaultKind.values())
                        .filter(kind -> kind.target() == target)
                        .toArray(SoakFaultKind[]::new);
        long start = FIRST_MILLIS + random.nextInt(longestGap);
        while (start + target.shortestMillis() <= lengthMillis) {
            SoakFaultKind kind = kinds[random.nextInt(kinds.length)];
            int length =
                    SoakRandom.between(random, target.shortestMillis(), target.longestMillis());
            long end = Math.min(start + length, lengthMillis);
            int gateway = random.nextInt(gateways);
            faults.add(new PlannedFault(kind, start, end, gateway, random.nextLong()));
            start += 1 + random.nextInt(longestGap);
        }
    }

    /** Returns the faults in the order of their start. */
    List<PlannedFault> faults() {
        return List.copyOf(faults);
    }
}
