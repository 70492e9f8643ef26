package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;

class LeaseReaderTest {
    private static final ObjectName FIRST = new ObjectName("leases", "orders-0");
    private static final ObjectName SECOND = new ObjectName("leases", "orders-1");

    private final InMemoryObjectApi store = new InMemoryObjectApi();
    private final Deque<Runnable> loop = new ArrayDeque<>();
    private final LeaseReader reader = new LeaseReader(store, loop::add);

    @Nested
    class SimultaneousReads {
        /** At the start of a large deployment each instance asked for each lease by itself. */
        @Test
        void takeOneCall() {
            store.put(FIRST, Json.object().put("a", 1), 7);
            CompletableFuture<StoredObject> first = reader.read(FIRST).toCompletableFuture();
            CompletableFuture<StoredObject> second = reader.read(SECOND).toCompletableFuture();
            loop.poll().run();
            assertEquals(1, store.readCalls);
            assertEquals(7, first.join().version());
            assertFalse(second.join().exists());
        }
    }

    @Nested
    class LaterReads {
        @Test
        void seeWhatChangedMeanwhile() {
            reader.read(FIRST);
            loop.poll().run();
            store.put(FIRST, Json.object().put("a", 1), 7);
            CompletableFuture<StoredObject> again = reader.read(FIRST).toCompletableFuture();
            loop.poll().run();
            assertTrue(again.join().exists());
            assertEquals(2, store.readCalls);
        }
    }
}
