package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/**
 * An object API that relays calls through a peer while this instance cannot reach the store.
 *
 * <p>The store may be unreachable from single instances, or reject their calls, while it serves the
 * others. A peer then makes the calls for such an instance. The semantics do not change: the store
 * checks the conditions of a write, and the outcome of a write is unknown if its answer is lost. An
 * instance that cannot reach the store itself refuses relayed calls at once, so an outage of the
 * store does not cause additional calls.
 *
 * <p>Peers may learn of a new era of the store at different times. A peer makes a write only if it
 * knows the same era as the asking instance, and a relayed answer counts only if it is of the
 * present era ({@link RelayedCalls}).
 *
 * <p>{@link StoreReachability} decides when calls are relayed, and when a direct call is tried
 * again. If a relayed read, list or watch fails, the call is made directly at once. Deletes are
 * never relayed.
 *
 * <p>The connections to the peer and those to the store may go silent together, so a relayed call
 * and the direct call after it must not take longer than a direct call that waits. A relayed watch
 * therefore ends, with the time for its answer, within the wait that was asked for; a direct watch
 * does not wait while the store counts as unreachable; and after a relayed call that failed, calls
 * are direct for a while.
 */
final class RelayingObjectApi implements ObjectApi {
    /** How long a relayed call may take, other than a watch. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);

    /** How long a peer's answer to a watch may take, in addition to the wait of the watch. */
    private static final Duration WATCH_ANSWER_TIMEOUT = Duration.ofMillis(300);

    /** A watch that waits longer than this is not shared; sources watch what changes often. */
    private static final Duration MAX_SHARED_WATCH_WAIT = Duration.ofSeconds(5);

    /** Limit of the wait of a relayed watch. It is short so that a direct call is tried soon. */
    private static final Duration MAX_RELAYED_WATCH_WAIT = Duration.ofMillis(1200);

    /** Sends messages to peers, and selects the peer that relays calls. */
    interface PeerChannel {
        /** Returns a peer that can probably reach the store; empty if no peer is known. */
        Optional<InstanceId> relayPeer();

        /** Sends a message to a peer. The message may be lost. */
        void send(InstanceId to, PeerMessage message);

        /** Returns the instance to watch the store through; empty to watch it directly. */
        Optional<WatchSource> watchSource();

        /** Returns whether other instances watch the store through this one. */
        boolean isWatchSource();

        /** Makes the address of a source known before a message is sent to it. */
        void connect(WatchSource source);

        /** Called when a source did not answer a watch, or could not answer it. */
        void onWatchSourceFailed(WatchSource source);
    }

    private final ObjectApi direct;
    private final PeerChannel channel;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final StoreEraMonitor eras;
    private final RelayedCalls relayedCalls;
    private final PeerObjectCalls peerCalls;
    private final SharedWatches sharedWatches;
    private final StoreReachability reachability = new StoreReachability();

    RelayingObjectApi(
            ObjectApi direct,
            PeerChannel channel,
            Executor loop,
            TimerService timers,
            EventLog log,
            StoreEraMonitor eras,
            CallNumbers callNumbers) {
        this.direct = direct;
        this.channel = channel;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.eras = eras;
        this.relayedCalls = new RelayedCalls(channel, timers, eras, callNumbers);
        this.peerCalls = new PeerObjectCalls(direct, channel, loop, eras::current);
        this.sharedWatches = new SharedWatches(timers, eras::current, peerCalls);
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return callWithFallback(
                () -> direct.read(name),
                peer ->
                        relay(peer, GatewayMessage.ObjectOperation.READ, name, 0, null)
                                .thenApply(RelayedObjects::toStoredObject));
    }

    @Override
    public CompletionStage<StorePosition> write(
            ObjectName name, JsonNode content, long expectedVersion) {
        Optional<InstanceId> peer = currentRelay();
        if (peer.isEmpty()) {
            return trackOutcome(direct.write(name, content, expectedVersion));
        }
        return relay(
                        peer.get(),
                        GatewayMessage.ObjectOperation.WRITE,
                        name,
                        expectedVersion,
                        content)
                .thenApply(answer -> RelayedObjects.toStoredObject(answer).position());
    }

    @Override
    public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
        return trackOutcome(direct.delete(name, expectedVersion));
    }

    @Override
    public CompletionStage<WatchResult> list(String kind) {
        ObjectName all = new ObjectName(kind, "");
        return callWithFallback(
                () -> listStore(kind),
                peer ->
                        relay(peer, GatewayMessage.ObjectOperation.LIST, all, 0, null)
                                .thenApply(answer -> relayedResult(kind, peer, answer)));
    }

    @Override
    public CompletionStage<WatchResult> watch(
            String kind, StorePosition after, Duration longestWait) {
        Optional<WatchSource> source = channel.watchSource();
        boolean shared = longestWait.compareTo(MAX_SHARED_WATCH_WAIT) <= 0;
        if (source.isPresent() && shared) {
            return watchThrough(source.get(), kind, after, longestWait);
        }
        return watchDirectly(kind, after, longestWait);
    }

    /** Watches the store, or lets a peer do so while the store is out of reach. */
    private CompletionStage<WatchResult> watchDirectly(
            String kind, StorePosition after, Duration longestWait) {
        // Decided now: after a relayed watch that failed, time has passed, even if the store has
        // been reached meanwhile.
        Duration directWait = reachability.isUnreachable() ? Duration.ZERO : longestWait;
        return callWithFallback(
                () -> watchStore(kind, after, directWait),
                peer ->
                        relayWatch(
                                        peer,
                                        GatewayMessage.ObjectOperation.WATCH,
                                        kind,
                                        after,
                                        relayedWait(longestWait))
                                .thenApply(answer -> relayedResult(kind, peer, answer)));
    }

    /** Reads what a peer has relayed, and logs through whom the news in it came. */
    private WatchResult relayedResult(
            String kind, InstanceId peer, GatewayMessage.ObjectCallAnswer answer) {
        WatchResult result = RelayedObjects.toWatchResult(answer);
        if (!result.changed().isEmpty()) {
            log.event(LogEvent.STORE_NEWS_RELAYED)
                    .with("kind", kind)
                    .with("relay", peer)
                    .with("objects", result.changed().size())
                    .with("revision", result.revision())
                    .write();
        }
        return result;
    }

    private static Duration relayedWait(Duration longestWait) {
        Duration wait = longestWait.minus(WATCH_ANSWER_TIMEOUT);
        if (wait.isNegative()) {
            return Duration.ZERO;
        }
        return wait.compareTo(MAX_RELAYED_WATCH_WAIT) < 0 ? wait : MAX_RELAYED_WATCH_WAIT;
    }

    private CompletionStage<WatchResult> listStore(String kind) {
        return direct.list(kind)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure == null) {
                                sharedWatches.onListed(kind, result);
                            }
                        },
                        loop);
    }

    private CompletionStage<WatchResult> watchStore(
            String kind, StorePosition after, Duration longestWait) {
        CompletionStage<WatchResult> watch = direct.watch(kind, after, longestWait);
        return channel.isWatchSource()
                ? watch.whenCompleteAsync(
                        (result, failure) -> {
                            if (failure == null) {
                                sharedWatches.onWatched(kind, after, result);
                            }
                        },
                        loop)
                : watch;
    }

    /**
     * Watches through an instance that shares what it reads. If it does not answer, or does not
     * know what the store holds, the store itself is asked at once, without a further wait: much of
     * the time in which changes must become known may have passed.
     */
    private CompletionStage<WatchResult> watchThrough(
            WatchSource source, String kind, StorePosition after, Duration longestWait) {
        CompletableFuture<WatchResult> result = new CompletableFuture<>();
        channel.connect(source);
        relayWatch(
                        source.instance(),
                        GatewayMessage.ObjectOperation.SHARED_WATCH,
                        kind,
                        after,
                        longestWait)
                .thenApply(RelayedObjects::toWatchResult)
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure == null) {
                                result.complete(answer);
                            } else {
                                channel.onWatchSourceFailed(source);
                                complete(watchDirectly(kind, after, Duration.ZERO), result);
                            }
                        },
                        loop);
        return result;
    }

    private interface RelayedCall<T> {
        CompletionStage<T> sendThrough(InstanceId peer);
    }

    private <T> CompletionStage<T> callWithFallback(
            Supplier<CompletionStage<T>> directCall, RelayedCall<T> relayedCall) {
        Optional<InstanceId> peer = currentRelay();
        if (peer.isEmpty()) {
            return trackOutcome(directCall.get());
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        relayedCall
                .sendThrough(peer.get())
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure == null) {
                                result.complete(answer);
                            } else {
                                reachability.onRelayedCallFailed(timers.now());
                                complete(trackOutcome(directCall.get()), result);
                            }
                        },
                        loop);
        return result;
    }

    private static <T> void complete(CompletionStage<T> call, CompletableFuture<T> result) {
        call.whenComplete(
                (answer, failure) -> {
                    if (failure == null) {
                        result.complete(answer);
                    } else {
                        result.completeExceptionally(failure);
                    }
                });
    }

    /** Returns the peer that relays the next call; empty if the call should be made directly. */
    private Optional<InstanceId> currentRelay() {
        return reachability.takeRelayedCall(timers.now()) ? channel.relayPeer() : Optional.empty();
    }

    private <T> CompletionStage<T> trackOutcome(CompletionStage<T> call) {
        Instant startedAt = timers.now();
        return call.whenCompleteAsync(
                (result, failure) -> {
                    boolean reached = failure == null || showsStoreReached(failure);
                    if (reachability.onDirectCallEnded(startedAt, reached, timers.now())) {
                        logReachability();
                    }
                },
                loop);
    }

    private void logReachability() {
        LogEvent event =
                reachability.isUnreachable() ? LogEvent.STORE_UNREACHABLE : LogEvent.STORE_REACHED;
        log.event(event)
                .with("relay", channel.relayPeer().map(InstanceId::value).orElse("none"))
                .write();
    }

    /** Returns whether a failure is an answer of the store, so that the store was reached. */
    private static boolean showsStoreReached(Throwable failure) {
        ErrorCode code = code(failure);
        return code == ErrorCode.WRITE_CONFLICT || code == ErrorCode.OBJECT_TOO_LARGE;
    }

    static ErrorCode code(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof TarragonlugException typed ? typed.code() : ErrorCode.INTERNAL;
    }

    private CompletionStage<GatewayMessage.ObjectCallAnswer> relay(
            InstanceId peer,
            GatewayMessage.ObjectOperation operation,
            ObjectName name,
            long version,
            JsonNode content) {
        StorePosition position = new StorePosition(eras.current(), version);
        return relayedCalls.call(
                peer, operation, name, position, content, Duration.ZERO, ANSWER_TIMEOUT);
    }

    private CompletionStage<GatewayMessage.ObjectCallAnswer> relayWatch(
            InstanceId peer,
            GatewayMessage.ObjectOperation operation,
            String kind,
            StorePosition after,
            Duration wait) {
        ObjectName all = new ObjectName(kind, "");
        return relayedCalls.call(peer, operation, all, after, null, wait, WATCH_ANSWER_TIMEOUT);
    }

    /** Completes a relayed call with the answer of the peer. Late answers are ignored. */
    void onObjectCallAnswer(GatewayMessage.ObjectCallAnswer answer) {
        relayedCalls.onAnswer(answer);
    }

    /** Forgets what this instance has read for others in another era of the store. */
    void onStoreEra(StoreEra era) {
        sharedWatches.onStoreEra(era);
    }

    /** Makes a call to the store on behalf of a peer, and sends the outcome back. */
    void onObjectCall(InstanceId from, GatewayMessage.ObjectCall call) {
        if (call.operation() == GatewayMessage.ObjectOperation.SHARED_WATCH) {
            sharedWatches.onWatch(from, call);
        } else {
            peerCalls.onCall(from, call, reachability.isUnreachable());
        }
    }
}
