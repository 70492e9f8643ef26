package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One server of ten restarts under load, and many instances share its limit. */
class LimitFleetTest {
    private static final double LOAD = 0.6;
    private static final Duration WARM_UP = Duration.ofSeconds(8);

    // Guards against instances that fill the queue of a server that is slow after its start,
    // because each of them sees that it has no requests.
    @ParameterizedTest
    @CsvSource({"8, 1", "71, 2", "300, 3"})
    void serverThatIsSlowAtFirstIsNotOverloaded(int instances, long seed) {
        Duration slowTime = Duration.ofSeconds(4);
        LimitFleet fleet = new LimitFleet(instances, seed, LOAD, 6);
        fleet.run(WARM_UP);
        fleet.restart(slowTime);
        fleet.run(slowTime);
        System.out.println("slow at first: " + fleet);
        assertTrue(fleet.peak() <= LimitFleet.SLOTS, fleet.toString());
        assertEquals(0, fleet.refusals(), fleet.toString());
        fleet.run(Duration.ofSeconds(6));
        Duration limit = slowTime.plusSeconds(5);
        assertTrue(fleet.timeToUsualUse().compareTo(limit) < 0, fleet.toString());
    }

    // Guards against a server that is fast at once and stays idle while the others are busy.
    @ParameterizedTest
    @CsvSource({"8, 1", "71, 2", "300, 3"})
    void serverThatIsFastAtOnceIsFullyUsedWithinSeconds(int instances, long seed) {
        LimitFleet fleet = new LimitFleet(instances, seed, LOAD, 1);
        fleet.run(WARM_UP);
        fleet.restart(Duration.ZERO);
        fleet.run(Duration.ofSeconds(6));
        System.out.println("fast at once: " + fleet);
        assertTrue(fleet.timeToUsualUse().compareTo(Duration.ofSeconds(5)) < 0, fleet.toString());
        assertEquals(0, fleet.refusals(), fleet.toString());
    }
}
