package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.TimerService;

/** An object API that shows the era of each answer to the {@link StoreEraMonitor}. */
final class EraCheckedObjectApi implements ObjectApi {
    private final ObjectApi store;
    private final StoreEraMonitor eras;
    private final TimerService timers;

    EraCheckedObjectApi(ObjectApi store, StoreEraMonitor eras, TimerService timers) {
        this.store = store;
        this.eras = eras;
        this.timers = timers;
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return check(store.read(name), object -> object.position().era());
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        return check(store.write(name, content, expectedVersion), StorePosition::era);
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return store.delete(name, expectedVersion);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return check(store.list(kind), result -> result.position().era());
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        return check(store.watch(kind, after, longestWait), result -> result.position().era());
    }

    private <T> CompletionStage<T> check(CompletionStage<T> call, Function<T, StoreEra> era) {
        Instant began = timers.now();
        return call.thenApply(
                result -> {
                    eras.accepts(era.apply(result), began);
                    return result;
                });
    }
}
