package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

class GroupViewTest {
    /** Guards against an overflow of time in an event that comes before the first tick. */
    @Test
    void serverIsAssumedToAnswerBeforeTheFirstTick() {
        CapacitySettings settings =
                new CapacitySettings(new ServerGroup("flight"), new ProcessId("self"), 30, 32);
        Instant now = Instant.parse("2026-01-01T00:00:00Z");
        assertTrue(new GroupView(settings).isResponding(new ServerId("s1"), now));
    }
}
