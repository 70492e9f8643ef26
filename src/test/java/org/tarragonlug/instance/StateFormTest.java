package org.tarragonlug.instance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/**
 * Guards against an unintended change in the JSON form of the status or the state dump, which
 * operators' tools read. The approved files list every path with its type.
 */
class StateFormTest {
    private static final Duration STATE_LIMIT = Duration.ofSeconds(10);

    /** Longer than the expected duration of a load from the weight store, which is 15 s. */
    private static final Duration REQUEST_DEADLINE = Duration.ofMinutes(1);

    private FleetFixture fleet;

    /**
     * Creates the approved state: the instance is decider, with standby slots and one loaded model.
     */
    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture(2);
        FleetFixture.await(
                STATE_LIMIT, () -> state().at("/capacity/tutoring/standbySlots").size() == 3);
        FleetFixture.Answer answer =
                fleet.chat(fleet.decider(), "lessons-model-1", "load it", 2, REQUEST_DEADLINE)
                        .join();
        assertTrue(answer.isComplete(), answer.toString());
        FleetFixture.await(
                STATE_LIMIT,
                () -> {
                    JsonNode slots = state().at("/capacity/tutoring/slots");
                    return slots.size() == 1 && slots.at("/0/openOrders").isEmpty();
                });
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private JsonNode state() {
        return fleet.decider().state().toCompletableFuture().join();
    }

    @Test
    void stateDump() {
        Approved.verify(Approved.describeStructure(state()));
    }

    @Test
    void status() {
        Approved.verify(
                Approved.describeStructure(fleet.decider().status().toCompletableFuture().join()));
    }
}
