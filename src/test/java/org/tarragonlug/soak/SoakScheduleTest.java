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
    private static final FaultShape FAULTS = new FaultShape(15, 300, 3000, 6000, 0);
    private static final FaultShape WITH_RESTORES = new FaultShape(15, 300, 3000, 6000, 4000);

    private static List<PlannedFault> faults(long seed) {
        return faults(seed, FAULTS);
    }

    private static List<PlannedFault> faults(long seed, FaultShape shape) {
        return new SoakSchedule(seed, LENGTH_MILLIS, GATEWAYS, shape).faults();
    }

    private static boolean isDrawnWithRestores(PlannedFault fault) {
        SoakFaultKind.Target target = fault.kind().target();
        return target == SoakFaultKind.Target.STORE_RESTORE
                || target == SoakFaultKind.Target.AROUND_RESTORE;
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
        TestSeeds.forEach(
                seed -> faults(seed, WITH_RESTORES).forEach(fault -> missing.remove(fault.kind())));
        assertEquals(Set.of(), missing);
    }

    // Guards against seeds of earlier findings that play other faults, and against a store that
    // returns from a copy in a shape that does not ask for it.
    @Test
    void restoresLeaveOtherFaultsAsTheyAre() {
        TestSeeds.forEach(
                seed -> {
                    List<PlannedFault> others =
                            faults(seed, WITH_RESTORES).stream()
                                    .filter(fault -> !isDrawnWithRestores(fault))
                                    .toList();
                    assertEquals(faults(seed), others);
                });
    }

    // Guards against a store that is away for longer or shorter than one that returns from a copy.
    @Test
    void storeIsAwayWithinItsBounds() {
        TestSeeds.forEach(
                seed ->
                        faults(seed, WITH_RESTORES).stream()
                                .filter(
                                        fault ->
                                                fault.kind().target()
                                                        == SoakFaultKind.Target.STORE_RESTORE)
                                .forEach(
                                        fault -> {
                                            long away = fault.endMillis() - fault.startMillis();
                                            assertTrue(away >= 200, fault::toString);
                                            assertTrue(away <= 1500, fault::toString);
                                        }));
    }
}
