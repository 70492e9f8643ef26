package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class CarriedCallsTest {
    private final CarriedCalls calls = new CarriedCalls();

    private static Optional<AnswerName> name(String value) {
        return Optional.of(new AnswerName("request-id", value));
    }

    // Guards against a call that is sent twice on a connection which carried many others between.
    @Test
    void everyNamedCallIsRemembered() {
        int count = 0;
        while (!calls.isFull()) {
            assertFalse(calls.mayContain(name("r" + count)));
            calls.add(name("r" + count));
            count++;
        }
        for (int number = 0; number < count; number++) {
            assertTrue(calls.mayContain(name("r" + number)));
        }
    }

    // Guards against connections that are given up although nothing has to be remembered of them.
    @Test
    void callsWithoutNamesAreCountedOnly() {
        for (int number = 0; number < 10_000; number++) {
            calls.add(Optional.empty());
        }
        assertEquals(10_000, calls.count());
        assertFalse(calls.mayContain(Optional.empty()));
        assertFalse(calls.isFull());
    }
}
