package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.StoreEra;

/** Random runs of lease managers whose store returns from older copies. */
class LeaseStoreReturnTest {
    private static final int SEEDS = Integer.getInteger("tarragonlug.lease.seeds", 600);
    private static final StoreEra FIRST_ERA = new StoreEra(1);

    @Nested
    class Turns {
        // Guards against two holders at once, and against a fencing token that is given out again,
        // after the store has lost the last changes of the lease.
        @Test
        void keepsTurnsOfHoldersApart() {
            List<String> violations = new ArrayList<>();
            int handovers = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                LeaseSimulation simulation = new LeaseSimulation(seed, 3, FIRST_ERA);
                simulation.run(Duration.ofSeconds(60), true);
                handovers += OrderTurns.handovers(simulation.orders);
                String name = "seed " + seed + ": ";
                OrderTurns.violation(simulation.orders).ifPresent(v -> violations.add(name + v));
            }
            System.out.printf(
                    "%d seeds, %d handovers, %d with violations%n",
                    SEEDS, handovers, violations.size());
            assertEquals(List.of(), violations);
            assertTrue(handovers > SEEDS / 2, "handovers: " + handovers);
        }
    }
}
