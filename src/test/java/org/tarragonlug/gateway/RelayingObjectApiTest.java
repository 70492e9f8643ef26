package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.DefaultTimerService;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.TimerService;

class RelayingObjectApiTest {
    private static final ObjectName NAME = new ObjectName("leases", "orders-0");

    /** A store that one side reaches and the other does not. */
    private static final class FakeStore implements ObjectApi {
        private boolean reachable = true;
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
        public CompletionStage<Long> write(ObjectName name, JsonNode content, long expected) {
            return answer(expected + 1);
        }

        @Override
        public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
            return answer(null);
        }

        @Override
        public CompletionStage<WatchResult> list(String kind) {
            return answer(new WatchResult(java.util.List.of(), 9, false));
        }

        @Override
        public CompletionStage<WatchResult> watch(String kind, long after, Duration wait) {
            return answer(new WatchResult(java.util.List.of(), after, false));
        }
    }

    private final FakeStore disconnectedStore = new FakeStore();
    private final FakeStore peerStore = new FakeStore();
    private final TimerService timers =
            new DefaultTimerService(Executors.defaultThreadFactory(), (part, failure) -> {});
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
                };
        return new RelayingObjectApi(store, channel, Runnable::run, timers, new EventLog("test"));
    }

    private void deliver(InstanceId to, PeerMessage message) {
        RelayingObjectApi receiver = to.value().equals("cut") ? disconnected : connectedPeer;
        InstanceId from = new InstanceId(to.value().equals("cut") ? "peer" : "cut");
        if (message instanceof PeerMessage.ObjectCall call) {
            receiver.onObjectCall(from, call);
        } else if (message instanceof PeerMessage.ObjectCallAnswer answer) {
            receiver.onObjectCallAnswer(answer);
        }
    }

    RelayingObjectApiTest() {
        disconnected = api(disconnectedStore, "peer");
        connectedPeer = api(peerStore, "cut");
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
    class CutOff {
        @Test
        void readsAndWritesThroughAPeer() throws Exception {
            failTwice();
            assertEquals(7, get(disconnected.read(NAME)).version());
            assertEquals(42, get(disconnected.write(NAME, Json.object(), 41)));
            assertEquals(9, get(disconnected.list("servers")).revision());
            assertTrue(peerStore.calls >= 3);
        }

        /** One broken watch sent all calls through peers that were in the same state. */
        @Test
        void isNotAssumedAfterOneFailure() throws Exception {
            disconnectedStore.reachable = false;
            assertThrows(ExecutionException.class, () -> get(disconnected.read(NAME)));
            disconnectedStore.reachable = true;
            int before = peerStore.calls;
            get(disconnected.read(NAME));
            assertEquals(before, peerStore.calls);
        }

        @Test
        void triesTheDirectWayWhenThePeerCanNotHelp() throws Exception {
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
