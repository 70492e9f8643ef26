package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.TimerService;

/**
 * An object API whose answers are all of the present era of the store.
 *
 * <p>An answer of an earlier era fails as if it had not come. A write that was answered in another
 * era than it began in fails with {@code OBJECT_API_OUTCOME_UNKNOWN}: the store gives revisions out
 * again, so the object that it replaced need not be the one that the caller had read.
 */
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
        return checkRead(store.read(name), object -> object.position().era());
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        Instant began = timers.now();
        StoreEra before = eras.current();
        return store.write(name, content, expectedVersion)
                .thenCompose(
                        written ->
                                eras.accepts(written.era(), began) && before.equals(eras.current())
                                        ? CompletableFuture.completedFuture(written)
                                        : failure(
                                                ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                                                written.era()));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return store.delete(name, expectedVersion);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return checkRead(store.list(kind), result -> result.position().era());
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        return checkRead(store.watch(kind, after, longestWait), result -> result.position().era());
    }

    private <T> CompletionStage<T> checkRead(CompletionStage<T> call, Function<T, StoreEra> eraOf) {
        Instant began = timers.now();
        return call.thenCompose(
                result -> {
                    StoreEra stated = eraOf.apply(result);
                    return eras.accepts(stated, began)
                            ? CompletableFuture.completedFuture(result)
                            : failure(ErrorCode.OBJECT_API_UNAVAILABLE, stated);
                });
    }

    private <T> CompletionStage<T> failure(ErrorCode code, StoreEra stated) {
        String detail = "the answer is of era " + stated + ", the present one is " + eras.current();
        return CompletableFuture.failedFuture(new TarragonlugException(code, detail));
    }
}
