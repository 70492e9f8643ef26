package org.tarragonlug.instance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/**
 * Guards against an unnoticed change of the status and the state dump, which operators' tools read.
 */
class StateFormTest {
    private static final Duration STATE_LIMIT = Duration.ofSeconds(10);

    /** Longer than the expected time of a load from the weight store, 15 s. */
    private static final Duration REQUEST_DEADLINE = Duration.ofMinutes(1);

    private FleetFixture fleet;

    /** The form is that of a deciding instance with standby slots and a loaded model. */
    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture(2);
        FleetFixture.await(STATE_LIMIT, () -> state().at("/capacity/tutoring/standbySlots").size() == 3);
        FleetFixture.Answer answer =
                fleet.chat(fleet.decider(), "lessons-model-1", "load it", 2, REQUEST_DEADLINE).join();
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
        Approved.verify(Approved.describeStructure(fleet.decider().status().toCompletableFuture().join()));
    }
}
