package org.tarragonlug.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks what the randomised runs rely on to be repeatable and broad. */
class FaultScheduleTest {
    private static final long LENGTH = 25_000;

    /** Guards against a seed that cannot be repeated. */
    @Test
    void sameSeedGivesSameSchedule() {
        assertEquals(new FaultSchedule(7, LENGTH).faults(), new FaultSchedule(7, LENGTH).faults());
    }

    /** Guards against runs that overload the system with faults, or never strike with some. */
    @Test
    void runsAtMostTwoFaultsAtOnceAndCoversAllKinds() {
        Set<FaultKind> drawnKinds = EnumSet.noneOf(FaultKind.class);
        for (long seed = 1; seed <= 40; seed++) {
            List<PlannedFault> faults = new FaultSchedule(seed, LENGTH).faults();
            for (PlannedFault fault : faults) {
                drawnKinds.add(fault.kind());
                assertTrue(fault.startMillis() < fault.endMillis() && fault.endMillis() <= LENGTH);
                long active =
                        faults.stream()
                                .filter(other -> other.startMillis() <= fault.startMillis())
                                .filter(other -> other.endMillis() > fault.startMillis())
                                .count();
                assertTrue(active <= 2, "seed " + seed);
            }
        }
        assertEquals(EnumSet.allOf(FaultKind.class), drawnKinds);
    }
}
