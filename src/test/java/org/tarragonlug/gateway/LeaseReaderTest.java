package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
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
        /**
         * Guards against a burst of store calls at the start of a large deployment, when each
         * instance read each lease with a separate call.
         */
        @Test
        void sharesOneStoreCallAmongSimultaneousReads() {
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
    class MissingLease {
        /** Guards against a missing lease that counts as missing in a store without eras. */
        @Test
        void leaseThatIsNotListedIsMissingInTheEraOfTheList() {
            store.era = new StoreEra(5);
            reader.read(FIRST);
            CompletableFuture<StoredObject> second = reader.read(SECOND).toCompletableFuture();
            loop.poll().run();
            assertEquals(
                    new StorePosition(store.era, StoredObject.ABSENT), second.join().position());
        }
    }

    @Nested
    class LaterReads {
        @Test
        void returnsNewContentWhenReadAgain() {
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
