package org.tarragonlug.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;

/**
 * Reads leases from the store and batches reads that are requested at the same time into one call.
 * Store calls cost money, and an instance that has just started reads all leases at once.
 */
final class LeaseReader {
    private record Pending(ObjectName name, CompletableFuture<StoredObject> result) {}

    private final ObjectApi store;
    private final Executor loop;
    private List<Pending> pending = new ArrayList<>();

    /**
     * Creates a reader.
     *
     * @param store the store that contains the leases
     * @param loop the event loop; a batch is sent after the events that are already queued on it
     */
    LeaseReader(ObjectApi store, Executor loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * Reads a lease. All names passed to one reader must have the same kind, because a batch is
     * read by listing that kind.
     */
    CompletionStage<StoredObject> read(ObjectName name) {
        CompletableFuture<StoredObject> result = new CompletableFuture<>();
        pending.add(new Pending(name, result));
        if (pending.size() == 1) {
            loop.execute(this::send);
        }
        return result;
    }

    private void send() {
        List<Pending> batch = pending;
        pending = new ArrayList<>();
        if (batch.size() == 1) {
            store.read(batch.get(0).name())
                    .whenComplete((object, failure) -> complete(batch.get(0), object, failure));
        } else {
            store.list(batch.get(0).name().kind())
                    .whenComplete((listed, failure) -> completeAll(batch, listed, failure));
        }
    }

    private static void completeAll(List<Pending> batch, WatchResult listed, Throwable failure) {
        Map<ObjectName, StoredObject> found = new HashMap<>();
        if (failure == null) {
            listed.changed().forEach(object -> found.put(object.name(), object));
        }
        for (Pending each : batch) {
            StoredObject object = found.get(each.name());
            complete(each, object == null ? absent(each.name(), listed) : object, failure);
        }
    }

    /**
     * Returns that a lease is missing in the era of a list.
     *
     * @param listed the list; null if it failed
     */
    private static StoredObject absent(ObjectName name, WatchResult listed) {
        return listed == null
                ? StoredObject.absent(name)
                : StoredObject.absent(name, listed.position().era());
    }

    private static void complete(Pending pending, StoredObject object, Throwable failure) {
        if (failure == null) {
            pending.result().complete(object);
        } else {
            pending.result().completeExceptionally(failure);
        }
    }
}
