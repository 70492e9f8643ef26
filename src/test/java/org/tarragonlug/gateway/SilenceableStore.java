package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.platform.PlatformObjectApi;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.ManualTimers;

/**
 * A store in virtual time, as seen through the kept connections of one instance. These can go
 * silent; calls on them then end by their timeout, after which new connections are opened. A list
 * opens a connection of its own. The store can also be out of reach for all calls.
 */
final class SilenceableStore implements ObjectApi {
    private static final Duration LATENCY = Duration.ofMillis(10);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration LIST_TIMEOUT = Duration.ofMillis(1000);

    /** Whether and how the store is out of reach. */
    enum Outage {
        NONE,
        /** Calls fail at once. */
        REFUSING,
        /** Calls are not answered. */
        SILENT
    }

    private record Change(long revision, StoredObject object) {}

    /** What the store holds, for the connections of all instances. */
    private static final class Contents {
        private final Map<ObjectName, StoredObject> objects =
                new TreeMap<>(Comparator.comparing(ObjectName::toString));
        private final List<Change> history = new ArrayList<>();
        private final List<Watch> watches = new ArrayList<>();
        private long revision = 1;
    }

    /** A call that has not ended. */
    private final class Call<T> {
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private final SilenceableStore owner = SilenceableStore.this;
        private final int connections;

        Call(int connections) {
            this.connections = connections;
        }

        void answer(T value) {
            if (connections > silentConnections && outage == Outage.NONE) {
                result.complete(value);
            }
        }

        void fail(String detail) {
            boolean failed =
                    result.completeExceptionally(
                            new TarragonlugException(ErrorCode.OBJECT_API_UNAVAILABLE, detail));
            if (failed && connections == keptConnections) {
                openedConnections++;
                keptConnections = openedConnections;
            }
        }
    }

    private record Watch(String kind, long after, Call<WatchResult> call) {}

    private final ManualTimers timers;
    private final Contents contents;

    /** How often the connections were opened anew. */
    private int openedConnections = 1;

    /** Number of the connections that calls share. */
    private int keptConnections = 1;

    /** Connections opened up to this time are silent. */
    private int silentConnections;

    private Outage outage = Outage.NONE;
    private int calls;

    SilenceableStore(ManualTimers timers) {
        this(timers, new Contents());
    }

    private SilenceableStore(ManualTimers timers, Contents contents) {
        this.timers = timers;
        this.contents = contents;
    }

    /** Returns the same store as seen through the connections of another instance. */
    SilenceableStore forAnotherInstance() {
        return new SilenceableStore(timers, contents);
    }

    /** Stops all answers on the connections that are open. */
    void silenceOpenConnections() {
        silentConnections = openedConnections;
    }

    /** Sets whether the store is out of reach from now on. */
    void setOutage(Outage newOutage) {
        outage = newOutage;
        if (newOutage == Outage.REFUSING) {
            cutWatches();
        }
    }

    /** Ends the watches that wait without an answer. */
    void cutWatches() {
        List<Watch> cut =
                contents.watches.stream().filter(each -> each.call().owner == this).toList();
        contents.watches.removeAll(cut);
        cut.forEach(watch -> watch.call().fail("the watch was cut off"));
    }

    int calls() {
        return calls;
    }

    void put(ObjectName name) {
        contents.revision++;
        change(
                new StoredObject(
                        name, contents.revision, Json.object().put("revision", contents.revision)));
    }

    void remove(ObjectName name) {
        contents.revision++;
        contents.objects.remove(name);
        change(new StoredObject(name, StoredObject.ABSENT, Json.object()));
    }

    private void change(StoredObject object) {
        if (object.exists()) {
            contents.objects.put(object.name(), object);
        }
        contents.history.add(new Change(contents.revision, object));
        for (Watch watch : List.copyOf(contents.watches)) {
            if (watch.kind().equals(object.name().kind())) {
                contents.watches.remove(watch);
                timers.scheduleOnce(
                        LATENCY, now -> watch.call().answer(changes(watch.kind(), watch.after())));
            }
        }
    }

    private WatchResult changes(String kind, long after) {
        List<StoredObject> changed =
                contents.history.stream()
                        .filter(each -> each.revision() > after)
                        .map(Change::object)
                        .filter(each -> each.name().kind().equals(kind))
                        .toList();
        return new WatchResult(changed, contents.revision, false);
    }

    private <T> Call<T> begin(int connections, Duration timeout) {
        calls++;
        Call<T> call = new Call<>(connections);
        timers.scheduleOnce(timeout, now -> call.fail("no answer"));
        if (outage == Outage.REFUSING) {
            timers.scheduleOnce(LATENCY, now -> call.fail("the store is out of reach"));
        }
        return call;
    }

    private <T> CompletionStage<T> answer(Duration timeout, Supplier<T> value) {
        return answer(keptConnections, timeout, value);
    }

    private <T> CompletionStage<T> answer(int connections, Duration timeout, Supplier<T> value) {
        Call<T> call = begin(connections, timeout);
        timers.scheduleOnce(LATENCY, now -> call.answer(value.get()));
        return call.result;
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return answer(
                CALL_TIMEOUT, () -> contents.objects.getOrDefault(name, StoredObject.absent(name)));
    }

    @Override
    public CompletionStage<StorePosition> write(ObjectName name, JsonNode content, long expected) {
        return answer(CALL_TIMEOUT, () -> StorePosition.of(expected + 1));
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return answer(CALL_TIMEOUT, () -> null);
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        openedConnections++;
        return answer(
                openedConnections,
                LIST_TIMEOUT,
                () ->
                        new WatchResult(
                                contents.objects.values().stream()
                                        .filter(each -> each.name().kind().equals(kind))
                                        .toList(),
                                contents.revision,
                                false));
    }

    @Override
    public CompletionStage<WatchResult> watch(String kind, StorePosition position, Duration wait) {
        long after = position.revision();
        Call<WatchResult> call =
                begin(keptConnections, wait.plus(PlatformObjectApi.ANSWER_TIMEOUT));
        if (outage != Outage.NONE) {
            return call.result;
        }
        if (!changes(kind, after).changed().isEmpty() || wait.isZero()) {
            timers.scheduleOnce(LATENCY, now -> call.answer(changes(kind, after)));
            return call.result;
        }
        Watch watch = new Watch(kind, after, call);
        contents.watches.add(watch);
        timers.scheduleOnce(
                wait.plus(LATENCY),
                now -> {
                    contents.watches.remove(watch);
                    call.answer(changes(kind, after));
                });
        return call.result;
    }
}
