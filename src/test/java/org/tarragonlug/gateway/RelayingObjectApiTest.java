package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.watching.SharedView;
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
import org.tarragonlug.runtime.DefaultTimerService;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.TimerService;

class RelayingObjectApiTest {
    private static final ObjectName NAME = new ObjectName("leases", "orders-0");

    /** A store as seen from one instance; its reachability can be set for that instance alone. */
    private static final class FakeStore implements ObjectApi {
        private boolean reachable = true;
        private List<StoredObject> changed = List.of();
        private int calls;

        private <T> CompletionStage<T> answer(T value) {
            calls++;
            return reachable
                    ? CompletableFuture.completedFuture(value)
                    : CompletableFuture.failedFuture(
                            new TarragonlugException(
                                    ErrorCode.OBJECT_API_UNAVAILABLE, "not reached"));
        }

        @Override
        public CompletionStage<StoredObject> read(ObjectName name) {
            return answer(new StoredObject(name, 7, Json.object().put("a", 1)));
        }

        @Override
        public CompletionStage<StorePosition> write(
                ObjectName name, JsonNode content, long expected) {
            return answer(StorePosition.of(expected + 1));
        }

        @Override
        public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
            return answer(null);
        }

        @Override
        public CompletionStage<WatchResult> list(String kind) {
            return answer(new WatchResult(List.of(), 9, false));
        }

        @Override
        public CompletionStage<WatchResult> watch(String kind, StorePosition after, Duration wait) {
            long last =
                    changed.stream()
                            .mapToLong(StoredObject::version)
                            .max()
                            .orElse(after.revision());
            return answer(new WatchResult(changed, last, false));
        }
    }

    private final FakeStore disconnectedStore = new FakeStore();
    private final FakeStore peerStore = new FakeStore();
    private final TimerService timers =
            new DefaultTimerService(Executors.defaultThreadFactory(), (part, failure) -> {});
    private final Random random = new Random(11);
    private Optional<WatchSource> source = Optional.empty();
    private boolean silentSource;
    private boolean answersLost;
    private RelayingObjectApi disconnected;
    private RelayingObjectApi connectedPeer;

    private RelayingObjectApi api(FakeStore store, String other) {
        RelayingObjectApi.PeerChannel channel =
                new RelayingObjectApi.PeerChannel() {
                    @Override
                    public Optional<InstanceId> relayPeer() {
                        return Optional.of(new InstanceId(other));
                    }

                    @Override
                    public void send(InstanceId to, PeerMessage message) {
                        deliver(to, message);
                    }

                    @Override
                    public Optional<WatchSource> watchSource() {
                        return other.equals("peer") ? source : Optional.empty();
                    }

                    @Override
                    public boolean isWatchSource() {
                        return other.equals("disconnected");
                    }

                    @Override
                    public void connect(WatchSource known) {
                        // Messages are delivered by the name of the instance.
                    }

                    @Override
                    public void onWatchSourceFailed(WatchSource failed) {
                        source = Optional.empty();
                    }
                };
        return new RelayingObjectApi(
                store,
                channel,
                Runnable::run,
                timers,
                new EventLog("test"),
                new StoreEraMonitor(timers, new EventLog("test")),
                new CallNumbers(random));
    }

    private void deliver(InstanceId to, PeerMessage message) {
        RelayingObjectApi receiver =
                to.value().equals("disconnected") ? disconnected : connectedPeer;
        InstanceId from =
                new InstanceId(to.value().equals("disconnected") ? "peer" : "disconnected");
        if (message instanceof GatewayMessage.ObjectCall call) {
            if (silentSource) {
                return;
            }
            receiver.onObjectCall(from, call);
        } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
            if (answersLost) {
                return;
            }
            receiver.onObjectCallAnswer(answer);
        }
    }

    RelayingObjectApiTest() {
        disconnected = api(disconnectedStore, "peer");
        connectedPeer = api(peerStore, "disconnected");
    }

    @AfterEach
    void close() {
        timers.close();
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private void failTwice() {
        disconnectedStore.reachable = false;
        for (int count = 0; count < 2; count++) {
            assertThrows(ExecutionException.class, () -> get(disconnected.read(NAME)));
        }
    }

    @Nested
    class SharedWatches {
        private static final Duration WAIT = Duration.ofMillis(50);

        @BeforeEach
        void selectSource() throws Exception {
            source = Optional.of(new WatchSource(new InstanceId("peer"), "127.0.0.1:1"));
            get(connectedPeer.list("servers"));
        }

        /** Guards against calls to the store for what another instance has already read. */
        @Test
        void watchThroughSourceMakesNoCall() throws Exception {
            int before = disconnectedStore.calls + peerStore.calls;
            assertEquals(
                    9, get(disconnected.watch("servers", StorePosition.of(9), WAIT)).revision());
            assertEquals(before, disconnectedStore.calls + peerStore.calls);
        }

        @Test
        void waitingWatchGetsNewsOfSource() throws Exception {
            CompletionStage<WatchResult> watch =
                    disconnected.watch("servers", StorePosition.of(9), Duration.ofSeconds(4));
            ObjectName server = new ObjectName("servers", "s1");
            peerStore.changed = List.of(new StoredObject(server, 12, Json.object().put("a", 1)));
            get(connectedPeer.watch("servers", StorePosition.of(9), WAIT));
            assertEquals(12, get(watch).changed().get(0).version());
        }

        /** Guards against instances that know nothing new while their source is silent. */
        @Test
        void silentSourceIsReplacedByTheStore() throws Exception {
            silentSource = true;
            get(disconnected.watch("servers", StorePosition.of(9), WAIT));
            assertEquals(1, disconnectedStore.calls);
        }

        /** Guards against a source that does not reach the store and says that nothing changed. */
        @Test
        void staleSourceIsReplacedByTheStore() throws Exception {
            Thread.sleep(SharedView.FRESHNESS.plusMillis(50).toMillis());
            get(disconnected.watch("servers", StorePosition.of(9), WAIT));
            assertEquals(1, disconnectedStore.calls);
        }

        @Test
        void watchFromBeforeTheViewOfTheSourceHasGap() throws Exception {
            assertTrue(get(disconnected.watch("servers", StorePosition.of(5), WAIT)).gap());
        }
    }

    @Nested
    class Restart {
        private static final Duration WAIT = Duration.ofSeconds(4);

        // Guards against an answer to a call of the process before that answers a call of the new
        // one: a watch of the configuration would be answered with servers, and news be lost.
        @Test
        void answerToProcessBeforeAnswersNoCall() throws Exception {
            source = Optional.of(new WatchSource(new InstanceId("peer"), "127.0.0.1:1"));
            get(connectedPeer.list("servers"));
            get(connectedPeer.list("config"));
            disconnected.watch("servers", StorePosition.of(9), WAIT);
            disconnected = api(disconnectedStore, "peer");
            CompletionStage<WatchResult> configuration =
                    disconnected.watch("config", StorePosition.of(9), WAIT);
            ObjectName server = new ObjectName("servers", "s1");
            peerStore.changed = List.of(new StoredObject(server, 12, Json.object().put("a", 1)));
            get(connectedPeer.watch("servers", StorePosition.of(9), Duration.ZERO));
            assertFalse(configuration.toCompletableFuture().isDone());
            ObjectName main = new ObjectName("config", "main");
            peerStore.changed = List.of(new StoredObject(main, 13, Json.object().put("a", 1)));
            get(connectedPeer.watch("config", StorePosition.of(9), Duration.ZERO));
            assertEquals(main, get(configuration).changed().get(0).name());
        }
    }

    @Nested
    class UnreachableStore {
        @Test
        void relaysCallsThroughPeerAfterTwoConsecutiveFailures() throws Exception {
            failTwice();
            assertEquals(7, get(disconnected.read(NAME)).version());
            assertEquals(StorePosition.of(42), get(disconnected.write(NAME, Json.object(), 41)));
            assertEquals(9, get(disconnected.list("servers")).revision());
            assertTrue(peerStore.calls >= 3);
        }

        // Guards against a write that is made twice, through a peer whose answer is lost and then
        // directly.
        @Test
        void relayedWriteWithoutAnswerIsNotMadeAgain() throws Exception {
            failTwice();
            answersLost = true;
            disconnectedStore.reachable = true;
            int directBefore = disconnectedStore.calls;
            int relayedBefore = peerStore.calls;
            ExecutionException failure =
                    assertThrows(
                            ExecutionException.class,
                            () -> get(disconnected.write(NAME, Json.object(), 41)));
            assertEquals(
                    ErrorCode.OBJECT_API_OUTCOME_UNKNOWN,
                    RelayingObjectApi.code(failure.getCause()));
            assertEquals(directBefore, disconnectedStore.calls);
            assertEquals(relayedBefore + 1, peerStore.calls);
        }

        /**
         * Guards against an instance that treats the store as unreachable after one broken watch.
         * It then relayed all calls through peers that had lost a watch in the same way.
         */
        @Test
        void callsStoreDirectlyAfterSingleFailure() throws Exception {
            disconnectedStore.reachable = false;
            assertThrows(ExecutionException.class, () -> get(disconnected.read(NAME)));
            disconnectedStore.reachable = true;
            int before = peerStore.calls;
            get(disconnected.read(NAME));
            assertEquals(before, peerStore.calls);
        }

        @Test
        void callsStoreDirectlyWhenPeerCannotReachItEither() throws Exception {
            failTwice();
            peerStore.reachable = false;
            for (int count = 0; count < 2; count++) {
                assertThrows(ExecutionException.class, () -> get(connectedPeer.read(NAME)));
            }
            disconnectedStore.reachable = true;
            assertEquals(7, get(disconnected.read(NAME)).version());
        }
    }
}
