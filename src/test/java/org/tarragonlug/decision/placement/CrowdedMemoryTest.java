package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A full server whose models are each asked for once a second, and a third model. */
class CrowdedMemoryTest {
    private static final List<String> HELD = List.of("one", "two");

    private PlannerFixture planner;

    @BeforeEach
    void askForHeldModels() {
        planner = new PlannerFixture(List.of("one", "two", "third"), 90);
        planner.addServers(List.of(HELD), Set.of("one", "two", "third"));
        planner.run(Duration.ofSeconds(8), HELD, List.of());
    }

    /**
     * Guards against models that are locked out while others are asked for just often enough to be
     * kept loaded.
     */
    @Test
    void modelAskedForNowAndThenGivesWayToAWaitingRequest() {
        planner.run(Duration.ofSeconds(2), HELD, List.of("third"));
        assertEquals(1, planner.orderedServers(OrderAction.UNLOAD).size());
    }

    /** Guards against models that are unloaded although no request waits for another one. */
    @Test
    void modelsAskedForStayLoadedOtherwise() {
        planner.run(Duration.ofSeconds(4), HELD, List.of());
        assertEquals(List.of(), planner.orders);
    }
}
