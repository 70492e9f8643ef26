package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;

/**
 * Object API in memory. It answers immediately and counts the calls to read and list. It does not
 * check the expected version of writes and deletes, and does not support watches.
 */
final class InMemoryObjectApi implements ObjectApi {
    final Map<ObjectName, StoredObject> objects = new LinkedHashMap<>();
    int readCalls;

    /** The era of lists. */
    StoreEra era = StoreEra.NONE;

    void put(ObjectName name, JsonNode content, long version) {
        objects.put(name, new StoredObject(name, version, content));
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        readCalls++;
        StoredObject found = objects.get(name);
        return CompletableFuture.completedFuture(found == null ? StoredObject.absent(name) : found);
    }

    @Override
    public CompletionStage<StorePosition> write(ObjectName name, JsonNode content, long expected) {
        put(name, content, expected + 1);
        return CompletableFuture.completedFuture(StorePosition.of(expected + 1));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        objects.remove(name);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        readCalls++;
        return CompletableFuture.completedFuture(
                new WatchResult(List.copyOf(objects.values()), new StorePosition(era, 100), false));
    }

    @Override
    public CompletionStage<WatchResult> watch(String kind, StorePosition after, Duration wait) {
        throw new UnsupportedOperationException();
    }
}
