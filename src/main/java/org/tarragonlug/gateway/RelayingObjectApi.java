package org.tarragonlug.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
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
    private final CallNumbers callNumbers;
    private final PeerObjectCalls peerCalls;
    private final SharedWatches sharedWatches;
    private final Map<Long, CompletableFuture<GatewayMessage.ObjectCallAnswer>> pendingCalls =
            new HashMap<>();
    private final StoreReachability reachability = new StoreReachability();

    RelayingObjectApi(
            ObjectApi direct,
            PeerChannel channel,
            Executor loop,
            TimerService timers,
            EventLog log,
            CallNumbers callNumbers) {
        this.direct = direct;
        this.channel = channel;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.callNumbers = callNumbers;
        this.peerCalls = new PeerObjectCalls(direct, channel, loop);
        this.sharedWatches = new SharedWatches(timers, peerCalls::reply);
    }

    @Override
    public CompletionStage<StoredObject> read(ObjectName name) {
        return callWithFallback(
                () -> direct.read(name),
                peer ->
                        relay(
                                        peer,
                                        GatewayMessage.ObjectOperation.READ,
                                        name,
                                        0,
                                        null,
                                        Duration.ZERO)
                                .thenApply(
                                        answer ->
                                                RelayedObjects.toStored(answer.objects().get(0))));
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
                        content,
                        Duration.ZERO)
                .thenApply(answer -> RelayedObjects.toStored(answer.objects().get(0)).position());
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
                        relay(
                                        peer,
                                        GatewayMessage.ObjectOperation.LIST,
                                        all,
                                        0,
                                        null,
                                        Duration.ZERO)
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
        ObjectName all = new ObjectName(kind, "");
        // Decided now: after a relayed watch that failed, time has passed, even if the store has
        // been reached meanwhile.
        Duration directWait = reachability.isUnreachable() ? Duration.ZERO : longestWait;
        return callWithFallback(
                () -> watchStore(kind, after, directWait),
                peer ->
                        relay(
                                        peer,
                                        GatewayMessage.ObjectOperation.WATCH,
                                        all,
                                        after.revision(),
                                        null,
                                        relayedWait(longestWait),
                                        WATCH_ANSWER_TIMEOUT)
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
        relay(
                        source.instance(),
                        GatewayMessage.ObjectOperation.SHARED_WATCH,
                        new ObjectName(kind, ""),
                        after.revision(),
                        null,
                        longestWait,
                        WATCH_ANSWER_TIMEOUT)
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
            JsonNode content,
            Duration wait) {
        return relay(peer, operation, name, version, content, wait, ANSWER_TIMEOUT);
    }

    private CompletionStage<GatewayMessage.ObjectCallAnswer> relay(
            InstanceId peer,
            GatewayMessage.ObjectOperation operation,
            ObjectName name,
            long version,
            JsonNode content,
            Duration wait,
            Duration timeout) {
        long callId = callNumbers.next();
        CompletableFuture<GatewayMessage.ObjectCallAnswer> result = new CompletableFuture<>();
        pendingCalls.put(callId, result);
        boolean write = operation == GatewayMessage.ObjectOperation.WRITE;
        timers.scheduleOnce(
                wait.plus(timeout),
                now -> {
                    if (pendingCalls.remove(callId) != null) {
                        result.completeExceptionally(
                                new TarragonlugException(
                                        write
                                                ? ErrorCode.OBJECT_API_OUTCOME_UNKNOWN
                                                : ErrorCode.OBJECT_API_UNAVAILABLE,
                                        "peer " + peer + " did not answer a relayed " + operation));
                    }
                });
        channel.send(
                peer,
                new GatewayMessage.ObjectCall(
                        PeerMessage.FORMAT_VERSION,
                        callId,
                        operation,
                        name.kind(),
                        name.name(),
                        version,
                        Optional.ofNullable(content).map(RelayedObjects::toText),
                        wait));
        return result.thenCompose(RelayingObjectApi::requireSuccess);
    }

    private static CompletionStage<GatewayMessage.ObjectCallAnswer> requireSuccess(
            GatewayMessage.ObjectCallAnswer answer) {
        if (answer.error().isEmpty()) {
            return CompletableFuture.completedFuture(answer);
        }
        ErrorCode code = ErrorCode.OBJECT_API_OUTCOME_UNKNOWN;
        for (ErrorCode each : ErrorCode.values()) {
            code = each.name().equals(answer.error()) ? each : code;
        }
        return CompletableFuture.failedFuture(
                new TarragonlugException(code, "the relaying peer reported " + answer.error()));
    }

    /** Completes a relayed call with the answer of the peer. Late answers are ignored. */
    void onObjectCallAnswer(GatewayMessage.ObjectCallAnswer answer) {
        CompletableFuture<GatewayMessage.ObjectCallAnswer> pending =
                pendingCalls.remove(answer.call());
        if (pending != null) {
            pending.complete(answer);
        }
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
