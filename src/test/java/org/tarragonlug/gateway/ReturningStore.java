package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.ManualTimers;

/**
 * A store in virtual time that can come back from an older copy of itself. It then gives revisions
 * out again, and never says that a history is gone. Some of its answers arrive late.
 */
final class ReturningStore implements ObjectApi {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final int LATENCY_MILLIS = 10;
    private static final int LONGEST_DELAY_MILLIS = 400;
    private static final int CALLS_PER_LATE_ANSWER = 20;

    /**
     * A change of an object.
     *
     * @param serial number of the change, unique in all eras; 0 if the object was removed
     */
    record Change(ObjectName name, long revision, long serial, Instant at) {}

    private record Watch(String kind, StorePosition after, CompletableFuture<WatchResult> answer) {}

    private final ManualTimers timers;
    private final Random random;
    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private StoreEra era = new StoreEra(1);
    private long revision = 1;
    private long lastSerial;
    private boolean away;
    private int calls;

    ReturningStore(ManualTimers timers, Random random) {
        this.timers = timers;
        this.random = random;
    }

    int calls() {
        return calls;
    }

    /** Writes an object, or removes it. */
    void change(ObjectName name, boolean removed) {
        revision++;
        lastSerial++;
        history.add(new Change(name, revision, removed ? 0 : lastSerial, timers.now()));
        for (Watch watch : List.copyOf(watches)) {
            if (watch.kind().equals(name.kind())) {
                watches.remove(watch);
                watch.answer().complete(changes(watch.kind(), watch.after()));
            }
        }
    }

    /** Stops answering; watches that wait are cut. */
    void leave() {
        away = true;
        List<Watch> cut = List.copyOf(watches);
        watches.clear();
        cut.forEach(watch -> watch.answer().completeExceptionally(unavailable()));
    }

    /**
     * Comes back in the next era, as it was before the last changes.
     *
     * @param lost how many changes are lost at most
     */
    void comeBack(int lost) {
        int kept = Math.max(0, history.size() - lost);
        history.subList(kept, history.size()).clear();
        revision = kept == 0 ? 1 : history.get(kept - 1).revision();
        era = era.next();
        away = false;
    }

    /** Returns the last change of each object, in the order of their names. */
    Map<ObjectName, Change> objects() {
        Map<ObjectName, Change> objects = new TreeMap<>(Comparator.comparing(ObjectName::toString));
        history.forEach(change -> objects.put(change.name(), change));
        return objects;
    }

    private StoredObject stored(Change change) {
        long version = change.serial() == 0 ? StoredObject.ABSENT : change.revision();
        return new StoredObject(
                change.name(),
                new StorePosition(era, version),
                Json.object().put("serial", change.serial()));
    }

    private WatchResult changes(String kind, StorePosition after) {
        if (!after.era().equals(era)) {
            return new WatchResult(List.of(), new StorePosition(era, after.revision()), true);
        }
        List<StoredObject> changed =
                history.stream()
                        .filter(each -> each.revision() > after.revision())
                        .filter(each -> each.name().kind().equals(kind))
                        .map(this::stored)
                        .toList();
        return new WatchResult(changed, new StorePosition(era, revision), false);
    }

    private static TarragonlugException unavailable() {
        return new TarragonlugException(ErrorCode.OBJECT_API_UNAVAILABLE, "the store is away");
    }

    private int latencyMillis() {
        return random.nextInt(CALLS_PER_LATE_ANSWER) == 0
                ? random.nextInt(LONGEST_DELAY_MILLIS)
                : LATENCY_MILLIS;
    }

    /** Answers a call with what the store holds when the call arrives. */
    private <T> CompletionStage<T> answer(Supplier<T> value) {
        calls++;
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (away) {
            answer.completeExceptionally(unavailable());
        } else {
            answer.complete(value.get());
        }
        return delivered(answer, CALL_TIMEOUT);
    }

    /** Delivers an answer some time after it was given, or fails at the timeout. */
    private <T> CompletionStage<T> delivered(CompletableFuture<T> answer, Duration timeout) {
        CompletableFuture<T> received = new CompletableFuture<>();
        timers.scheduleOnce(timeout, now -> received.completeExceptionally(unavailable()));
        answer.whenComplete(
                (value, failure) ->
                        timers.scheduleOnce(
                                Duration.ofMillis(latencyMillis()),
                                now -> {
                                    if (failure == null) {
                                        received.complete(value);
                                    } else {
                                        received.completeExceptionally(failure);
                                    }
                                }));
        return received;
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return answer(
                () ->
                        objects().containsKey(name)
                                ? stored(objects().get(name))
                                : StoredObject.absent(name, era));
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        return answer(
                () ->
                        new WatchResult(
                                objects().values().stream()
                                        .filter(each -> each.name().kind().equals(kind))
                                        .filter(each -> each.serial() != 0)
                                        .map(this::stored)
                                        .toList(),
                                new StorePosition(era, revision),
                                false));
    }

    @Override
    public CompletionStage<WatchResult> watch(String kind, StorePosition after, Duration wait) {
        if (away || wait.isZero()) {
            return answer(() -> changes(kind, after));
        }
        calls++;
        CompletableFuture<WatchResult> answer = new CompletableFuture<>();
        WatchResult present = changes(kind, after);
        if (present.gap() || !present.changed().isEmpty()) {
            answer.complete(present);
        } else {
            Watch watch = new Watch(kind, after, answer);
            watches.add(watch);
            timers.scheduleOnce(
                    wait,
                    now -> {
                        if (watches.remove(watch)) {
                            answer.complete(changes(kind, after));
                        }
                    });
        }
        return delivered(answer, wait.plus(CALL_TIMEOUT));
    }
}
