package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;

class SoakScheduleTest {
    private static final long LENGTH_MILLIS = 20_000;
    private static final int GATEWAYS = 3;
    private static final FaultShape FAULTS = new FaultShape(15, 300, 3000, 6000);

    private static List<PlannedFault> faults(long seed) {
        return new SoakSchedule(seed, LENGTH_MILLIS, GATEWAYS, FAULTS).faults();
    }

    // Guards against a seed that does not repeat the faults of the run that it was reported for.
    @Test
    void sameSeedGivesSameFaults() {
        assertEquals(faults(7), faults(7));
        assertNotEquals(faults(7), faults(8));
    }

    // Guards against faults that go on during the check of the recovery.
    @Test
    void faultsEndWithinTheRunAndConcernItsGateways() {
        TestSeeds.forEach(
                seed -> {
                    for (PlannedFault fault : faults(seed)) {
                        assertTrue(fault.startMillis() < fault.endMillis(), fault::toString);
                        assertTrue(fault.endMillis() <= LENGTH_MILLIS, fault::toString);
                        assertTrue(fault.gateway() < GATEWAYS, fault::toString);
                    }
                });
    }

    // Guards against a kind of fault that no run ever draws.
    @Test
    void everyKindOccurs() {
        Set<SoakFaultKind> missing = EnumSet.allOf(SoakFaultKind.class);
        TestSeeds.forEach(seed -> faults(seed).forEach(fault -> missing.remove(fault.kind())));
        assertEquals(Set.of(), missing);
    }
}
