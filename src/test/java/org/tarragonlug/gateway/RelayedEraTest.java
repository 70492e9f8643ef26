package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
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
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.ManualTimers;

/** Calls through a peer that knows another era of the store than the asking instance, or none. */
class RelayedEraTest {
    private static final ObjectName NAME = new ObjectName("servers", "s1");
    private static final Duration WAIT = Duration.ofMillis(50);
    private static final long REVISION = 9;
    private static final StoreEra BEFORE = new StoreEra(4);
    private static final StoreEra AFTER = new StoreEra(5);

    /** A store as one instance sees it. Its content stays the same. */
    private static final class SeenStore implements ObjectApi {
        private boolean reachable = true;
        private StoreEra era = BEFORE;
        private int calls;

        private <T> CompletionStage<T> answer(T value) {
            calls++;
            return reachable
                    ? CompletableFuture.completedFuture(value)
                    : CompletableFuture.failedFuture(
                            new TarragonlugException(
                                    ErrorCode.OBJECT_API_UNAVAILABLE, "not reached"));
        }

        private StorePosition at(long revision) {
            return new StorePosition(era, revision);
        }

        private StoredObject object(ObjectName name) {
            return new StoredObject(name, at(REVISION), Json.object().put("a", 1));
        }

        @Override
        public CompletionStage<StoredObject> read(ObjectName name) {
            return answer(object(name));
        }

        @Override
        public CompletionStage<StorePosition> write(
                ObjectName name, JsonNode content, long expectedVersion) {
            return answer(at(expectedVersion + 1));
        }

        @Override
        public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
            return answer(null);
        }

        @Override
        public CompletionStage<WatchResult> list(String kind) {
            return answer(new WatchResult(List.of(object(NAME)), at(REVISION), false));
        }

        @Override
        public CompletionStage<WatchResult> watch(String kind, StorePosition after, Duration wait) {
            boolean gap = !after.era().equals(era);
            return answer(new WatchResult(List.of(), at(after.revision()), gap));
        }
    }

    /** An instance; answers of the store and of peers are checked as in a gateway. */
    private final class Node implements RelayingObjectApi.PeerChannel {
        private final InstanceId id;
        private final SeenStore store = new SeenStore();
        private final StoreEraMonitor eras;
        private final RelayingObjectApi relay;
        private final ObjectApi api;
        private Optional<WatchSource> source = Optional.empty();

        private GatewayMessage.ObjectCallAnswer lastAnswer;

        /** Whether this instance neither writes nor reads the era in messages of peers. */
        private boolean ofLastRelease;

        Node(String name) {
            id = new InstanceId(name);
            EventLog log = new EventLog(name);
            eras = new StoreEraMonitor(timers, log);
            relay =
                    new RelayingObjectApi(
                            new EraCheckedObjectApi(store, eras, timers),
                            this,
                            Runnable::run,
                            timers,
                            log,
                            eras,
                            new CallNumbers(new Random(1)));
            api = new EraCheckedObjectApi(relay, eras, timers);
            eras.addListener(relay::onStoreEra);
        }

        /** Lets the instance learn of an era by an answer of the store. */
        void learn(StoreEra era) {
            store.era = era;
            get(api.list(NAME.kind()));
        }

        /** Makes the instance lose the store, so that its calls are relayed. */
        void loseStore() {
            store.reachable = false;
            api.read(NAME);
            api.read(NAME);
        }

        @Override
        public Optional<InstanceId> relayPeer() {
            return Optional.of(other().id);
        }

        private Node other() {
            return this == asking ? peer : asking;
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            if (message instanceof GatewayMessage.ObjectCall call) {
                // The last release makes all calls, whatever era they state.
                StoreEra era = other().ofLastRelease ? other().eras.current() : call.statedEra();
                other().relay.onObjectCall(id, withEra(call, era));
            } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
                lastAnswer = answer;
                other().relay.onObjectCallAnswer(ofLastRelease ? withoutEra(answer) : answer);
            }
        }

        @Override
        public Optional<WatchSource> watchSource() {
            return source;
        }

        @Override
        public boolean isWatchSource() {
            return this == peer;
        }

        @Override
        public void connect(WatchSource known) {
            // Messages are delivered by the name of the instance.
        }

        @Override
        public void onWatchSourceFailed(WatchSource failed) {
            source = Optional.empty();
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final Node asking = new Node("asking");
    private final Node peer = new Node("peer");

    private static GatewayMessage.ObjectCall withEra(GatewayMessage.ObjectCall call, StoreEra era) {
        return new GatewayMessage.ObjectCall(
                call.formatVersion(),
                call.call(),
                call.operation(),
                call.objectKind(),
                call.objectName(),
                call.version(),
                call.content(),
                call.longestWait(),
                era.value());
    }

    private static GatewayMessage.ObjectCallAnswer withoutEra(
            GatewayMessage.ObjectCallAnswer answer) {
        return new GatewayMessage.ObjectCallAnswer(
                answer.formatVersion(),
                answer.call(),
                answer.error(),
                answer.objects(),
                answer.revision(),
                answer.gap(),
                0);
    }

    private static <T> T get(CompletionStage<T> stage) {
        assertTrue(stage.toCompletableFuture().isDone());
        return stage.toCompletableFuture().join();
    }

    private static ErrorCode failure(CompletionStage<?> stage) {
        assertTrue(stage.toCompletableFuture().isCompletedExceptionally());
        return RelayingObjectApi.code(
                stage.handle((result, failure) -> failure).toCompletableFuture().join());
    }

    private CompletionStage<StorePosition> write() {
        return asking.api.write(NAME, Json.object(), REVISION);
    }

    private CompletionStage<WatchResult> watch(StoreEra era) {
        return asking.api.watch(NAME.kind(), new StorePosition(era, REVISION), WAIT);
    }

    @Nested
    class SameEra {
        @BeforeEach
        void relayCalls() {
            asking.learn(BEFORE);
            peer.learn(BEFORE);
            asking.loseStore();
        }

        /** Guards against a relayed watch that has a gap, and is followed by a list, each time. */
        @Test
        void relayedWatchHasNoGap() {
            assertFalse(get(watch(BEFORE)).gap());
        }

        /** Guards against relayed answers that count as of a store without eras. */
        @Test
        void relayedAnswersBearTheEra() {
            StorePosition position = new StorePosition(BEFORE, REVISION);
            assertEquals(position, get(asking.api.read(NAME)).position());
            assertEquals(position, get(asking.api.list(NAME.kind())).position());
            assertEquals(position, get(asking.api.list(NAME.kind())).changed().get(0).position());
            assertEquals(new StorePosition(BEFORE, REVISION + 1), get(write()));
        }

        /** Guards against an instance without the store that does not learn of a new era. */
        @Test
        void laterEraIsLearntThroughThePeer() {
            peer.learn(AFTER);
            assertTrue(get(watch(BEFORE)).gap());
            assertEquals(AFTER, asking.eras.current());
        }
    }

    @Nested
    class PeerOfEarlierEra {
        @BeforeEach
        void relayCalls() {
            asking.learn(AFTER);
            peer.learn(BEFORE);
            asking.loseStore();
            asking.store.reachable = true;
        }

        /** Guards against a list of the copy that is gone being taken for the present one. */
        @Test
        void readsAreMadeDirectly() {
            assertEquals(AFTER, get(asking.api.list(NAME.kind())).position().era());
            assertEquals(AFTER, get(asking.api.read(NAME)).position().era());
            assertEquals(AFTER, get(watch(AFTER)).position().era());
            assertEquals(AFTER, asking.eras.current());
        }

        /** Guards against a write that replaces what another copy gave the same version. */
        @Test
        void writeIsNotMade() {
            int before = peer.store.calls;
            assertEquals(ErrorCode.OBJECT_API_UNAVAILABLE, failure(write()));
            assertEquals(before, peer.store.calls);
        }
    }

    @Nested
    class PeerOfLaterEra {
        /** Guards against a write with a version that the copy before gave out. */
        @Test
        void writeIsNotMade() {
            asking.learn(BEFORE);
            peer.learn(AFTER);
            asking.loseStore();
            int before = peer.store.calls;
            assertEquals(ErrorCode.OBJECT_API_UNAVAILABLE, failure(write()));
            assertEquals(before, peer.store.calls);
        }

        /** Guards against a write that the store carried out in another era counting as done. */
        @Test
        void writeThatWasAnsweredInLaterEraHasUnknownOutcome() {
            asking.learn(BEFORE);
            peer.learn(BEFORE);
            asking.loseStore();
            peer.store.era = AFTER;
            assertEquals(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, failure(write()));
        }
    }

    /** A rolling upgrade, in which one of the two instances runs the last release. */
    @Nested
    class LastRelease {
        @BeforeEach
        void relayCalls() {
            asking.learn(BEFORE);
            peer.learn(BEFORE);
            asking.loseStore();
        }

        /** Guards against an answer whose era nobody knows being taken for the present one. */
        @Test
        void answerWithoutEraIsReplacedByDirectOne() {
            peer.ofLastRelease = true;
            asking.store.reachable = true;
            int direct = asking.store.calls;
            assertEquals(BEFORE, get(asking.api.list(NAME.kind())).position().era());
            assertEquals(direct + 1, asking.store.calls);
        }

        /** Guards against a write of an unknown era counting as done, or as not done. */
        @Test
        void writeWithoutEraHasUnknownOutcome() {
            peer.ofLastRelease = true;
            int before = peer.store.calls;
            assertEquals(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, failure(write()));
            assertEquals(before + 1, peer.store.calls);
        }

        /** Guards against an instance of the last release that lists without end after gaps. */
        @Test
        void watchWithoutEraHasNoGap() {
            peer.relay.onObjectCall(
                    asking.id, callWithoutEra(GatewayMessage.ObjectOperation.WATCH));
            assertFalse(peer.lastAnswer.gap());
            assertEquals("", peer.lastAnswer.error());
        }

        /** Guards against the same at instances that watch through a source. */
        @Test
        void sharedWatchWithoutEraHasNoGap() {
            peer.relay.onObjectCall(
                    asking.id, callWithoutEra(GatewayMessage.ObjectOperation.SHARED_WATCH));
            timers.advance(WAIT);
            assertFalse(peer.lastAnswer.gap());
            assertEquals("", peer.lastAnswer.error());
        }

        private GatewayMessage.ObjectCall callWithoutEra(GatewayMessage.ObjectOperation operation) {
            return new GatewayMessage.ObjectCall(
                    PeerMessage.FORMAT_VERSION,
                    1,
                    operation,
                    NAME.kind(),
                    "",
                    REVISION,
                    Optional.empty(),
                    WAIT,
                    0);
        }
    }

    @Nested
    class SharedWatches {
        @BeforeEach
        void watchThroughPeer() {
            asking.learn(BEFORE);
            peer.learn(BEFORE);
            asking.source = Optional.of(new WatchSource(peer.id, "127.0.0.1:1"));
        }

        /** Guards against changes of another copy that are passed on as those since a revision. */
        @Test
        void watchOfEarlierEraHasGapAndTellsTheEra() {
            peer.learn(AFTER);
            assertTrue(get(watch(BEFORE)).gap());
            assertEquals(AFTER, asking.eras.current());
        }

        /** Guards against a source that has not learnt of the era and says that nothing changed. */
        @Test
        void watchOfLaterEraGoesToTheStore() {
            asking.learn(AFTER);
            int before = asking.store.calls;
            assertEquals(AFTER, get(watch(AFTER)).position().era());
            assertEquals(before + 1, asking.store.calls);
        }

        /** Guards against a source that passes on what it read before it learnt of the era. */
        @Test
        void sourceForgetsWhatItReadInEarlierEra() {
            peer.store.era = AFTER;
            get(peer.api.read(NAME));
            int before = asking.store.calls;
            get(watch(BEFORE));
            assertEquals(before + 1, asking.store.calls);
        }

        /** Guards against many calls to the store when a source learns of a new era. */
        @Test
        void waitingWatchHasGapOnceTheSourceHasListed() {
            CompletionStage<WatchResult> waiting = watch(BEFORE);
            int before = asking.store.calls;
            peer.store.era = AFTER;
            get(peer.api.read(NAME));
            assertFalse(waiting.toCompletableFuture().isDone());
            get(peer.api.list(NAME.kind()));
            assertTrue(get(waiting).gap());
            assertEquals(before, asking.store.calls);
        }

        /** Guards against a late list of the copy that is gone filling the view of the source. */
        @Test
        void lateListOfEarlierEraIsNotPassedOn() {
            peer.learn(AFTER);
            peer.store.era = BEFORE;
            failure(peer.api.list(NAME.kind()));
            asking.learn(AFTER);
            int before = asking.store.calls;
            CompletionStage<WatchResult> watch = watch(AFTER);
            timers.advance(WAIT);
            assertFalse(get(watch).gap());
            assertEquals(before, asking.store.calls);
        }
    }
}
