package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoreRefusal;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.TimerService;

/**
 * An object API whose answers are all of the present era of the store.
 *
 * <p>An answer of an earlier era fails as if it had not come. A write that was answered in another
 * era than it began in fails with {@code OBJECT_API_OUTCOME_UNKNOWN}: the store gives revisions out
 * again, so the object that it replaced need not be the one that the caller had read. A refusal
 * states the era as well; a conflict of an earlier era says nothing of the present object, so such
 * a write counts as not made.
 *
 * <p>An answer that states no era is taken as one of the present era.
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
        return check(store.read(name), object -> object.position().era(), StoredObject::inEra);
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        Instant began = timers.now();
        StoreEra before = eras.current();
        return judgeRefusal(store.write(name, content, expectedVersion), began)
                .thenCompose(
                        written ->
                                eras.accepts(written.era(), began) && before.equals(eras.current())
                                        ? CompletableFuture.completedFuture(
                                                new StorePosition(before, written.revision()))
                                        : failure(
                                                ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                                                written.era()));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return judgeRefusal(store.delete(name, expectedVersion), timers.now());
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return check(store.list(kind), result -> result.position().era(), WatchResult::inEra);
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        return check(
                store.watch(kind, after, longestWait),
                result -> result.position().era(),
                WatchResult::inEra);
    }

    /**
     * Checks the answer to a read, list or watch.
     *
     * @param inEra returns an answer as one of an era
     */
    private <T> CompletionStage<T> check(
            CompletionStage<T> call,
            Function<T, StoreEra> eraOf,
            BiFunction<T, StoreEra, T> inEra) {
        Instant began = timers.now();
        return judgeRefusal(call, began)
                .thenCompose(
                        result -> {
                            StoreEra stated = eraOf.apply(result);
                            if (!eras.accepts(stated, began)) {
                                return failure(ErrorCode.OBJECT_API_UNAVAILABLE, stated);
                            }
                            return CompletableFuture.completedFuture(
                                    stated.isStated()
                                            ? result
                                            : inEra.apply(result, eras.current()));
                        });
    }

    /** Learns from the era of a refusal. */
    private <T> CompletionStage<T> judgeRefusal(CompletionStage<T> call, Instant began) {
        return call.exceptionallyCompose(
                failure -> {
                    Throwable cause =
                            failure instanceof CompletionException ? failure.getCause() : failure;
                    boolean outdated =
                            cause instanceof StoreRefusal refusal
                                    && refusal.era().isStated()
                                    && !eras.accepts(refusal.era(), began);
                    if (outdated && RelayingObjectApi.code(cause) == ErrorCode.WRITE_CONFLICT) {
                        return failure(
                                ErrorCode.OBJECT_API_UNAVAILABLE, ((StoreRefusal) cause).era());
                    }
                    return CompletableFuture.failedFuture(cause);
                });
    }

    private <T> CompletionStage<T> failure(ErrorCode code, StoreEra stated) {
        String detail = "the answer is of era " + stated + ", the present one is " + eras.current();
        return CompletableFuture.failedFuture(new TarragonlugException(code, detail));
    }
}
