package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoreRefusal;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.ManualTimers;

/** Answers of a store that states its era in all of them, in some of them, or wrongly. */
class EraCheckedObjectApiTest {
    private static final ObjectName LEASE = new ObjectName("leases", "orders-0");
    private static final StoreEra PRESENT = new StoreEra(5);
    private static final StorePosition POSITION = new StorePosition(PRESENT, 7);

    /** A store whose calls a test answers. */
    private static final class AnsweredStore implements ObjectApi {
        private final CompletableFuture<StoredObject> read = new CompletableFuture<>();
        private final CompletableFuture<StorePosition> written = new CompletableFuture<>();
        private final CompletableFuture<WatchResult> result = new CompletableFuture<>();

        @Override
        public CompletionStage<StoredObject> read(ObjectName name) {
            return read;
        }

        @Override
        public CompletionStage<StorePosition> write(
                ObjectName name, JsonNode content, long expectedVersion) {
            return written;
        }

        @Override
        public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
            return written.thenApply(position -> null);
        }

        @Override
        public CompletionStage<WatchResult> list(String kind) {
            return result;
        }

        @Override
        public CompletionStage<WatchResult> watch(
                String kind, StorePosition after, Duration longestWait) {
            return result;
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final StoreEraMonitor eras = new StoreEraMonitor(timers, new EventLog("test"));
    private final AnsweredStore store = new AnsweredStore();
    private final ObjectApi api = new EraCheckedObjectApi(store, eras, timers);
    private final List<StoreEra> told = new ArrayList<>();

    private static StoreRefusal refusal(ErrorCode code, long era) {
        return new StoreRefusal(code, "refused", new StoreEra(era));
    }

    private static ErrorCode failure(CompletionStage<?> stage) {
        assertTrue(stage.toCompletableFuture().isCompletedExceptionally());
        return RelayingObjectApi.code(
                stage.handle((result, failure) -> failure).toCompletableFuture().join());
    }

    @BeforeEach
    void learnEra() {
        eras.accepts(PRESENT, timers.now());
        eras.addListener(told::add);
    }

    @Nested
    class MissingHeader {
        /** Guards against lists and watches that replace each other without a pause. */
        @Test
        void listIsOfThePresentEra() {
            CompletionStage<WatchResult> list = api.list("leases");
            StoredObject object = new StoredObject(LEASE, 7, Json.object());
            store.result.complete(new WatchResult(List.of(object), 7, false));
            WatchResult result = list.toCompletableFuture().join();
            assertEquals(POSITION, result.position());
            assertEquals(POSITION, result.changed().get(0).position());
        }

        /** Guards against a lease that counts as free since its era is not known. */
        @Test
        void objectAndWriteAreOfThePresentEra() {
            store.read.complete(new StoredObject(LEASE, 7, Json.object()));
            store.written.complete(StorePosition.of(7));
            assertEquals(POSITION, api.read(LEASE).toCompletableFuture().join().position());
            assertEquals(POSITION, api.write(LEASE, Json.object(), 6).toCompletableFuture().join());
            assertEquals(List.of(), told);
        }
    }

    @Nested
    class Refusals {
        /** Guards against a return of the store that is learnt of only by the next answer. */
        @Test
        void refusalTellsOfTheEra() {
            CompletionStage<StorePosition> write = api.write(LEASE, Json.object(), 6);
            store.written.completeExceptionally(refusal(ErrorCode.WRITE_CONFLICT, 6));
            assertEquals(List.of(new StoreEra(6)), told);
            assertEquals(ErrorCode.WRITE_CONFLICT, failure(write));
        }

        /** Guards against a conflict with an object of another copy counting as one of this. */
        @Test
        void conflictOfEarlierEraIsNone() {
            CompletionStage<StorePosition> write = api.write(LEASE, Json.object(), 6);
            store.written.completeExceptionally(refusal(ErrorCode.WRITE_CONFLICT, 4));
            assertEquals(ErrorCode.OBJECT_API_UNAVAILABLE, failure(write));
            assertEquals(PRESENT, eras.current());
        }

        /** Guards against a write that may have been made counting as not made. */
        @Test
        void unknownOutcomeOfEarlierEraStaysUnknown() {
            CompletionStage<StorePosition> write = api.write(LEASE, Json.object(), 6);
            store.written.completeExceptionally(refusal(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, 4));
            assertEquals(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, failure(write));
        }

        /** Guards against a failure without an answer that changes what is known of the era. */
        @Test
        void refusalWithoutEraTellsNothing() {
            CompletionStage<StoredObject> read = api.read(LEASE);
            store.read.completeExceptionally(refusal(ErrorCode.OBJECT_API_UNAVAILABLE, 0));
            assertEquals(ErrorCode.OBJECT_API_UNAVAILABLE, failure(read));
            assertEquals(PRESENT, eras.current());
        }
    }

    @Nested
    class Order {
        /** Guards against an answer of a new era that is used by what was read before it. */
        @Test
        void partsAreToldBeforeTheAnswerIsUsed() {
            List<String> order = new ArrayList<>();
            eras.addListener(era -> order.add("told of " + era));
            api.read(LEASE).thenAccept(object -> order.add("used"));
            StorePosition later = new StorePosition(new StoreEra(6), 3);
            store.read.complete(new StoredObject(LEASE, later, Json.object()));
            assertEquals(List.of("told of 6", "used"), order);
        }

        /** Guards against a write that was made in another copy than the one that was read. */
        @Test
        void writeAnsweredInAnotherEraHasUnknownOutcome() {
            CompletionStage<StorePosition> write = api.write(LEASE, Json.object(), 6);
            store.written.complete(new StorePosition(new StoreEra(6), 7));
            assertEquals(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, failure(write));
            assertFalse(told.isEmpty());
        }
    }
}
