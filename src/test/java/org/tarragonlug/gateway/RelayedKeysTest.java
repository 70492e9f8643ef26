package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerCodec;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.platform.ConfigurationDecoder;
import org.tarragonlug.platform.PlatformObjectApi;
import org.tarragonlug.runtime.DefaultTimerService;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.TimerService;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** Guards against keys of accounts in what instances pass on to each other. */
class RelayedKeysTest {
    private static final ObjectName MAIN = new ObjectName("config", "main");
    private static final String TABLE =
            "{\"version\": 3, \"routes\": [], \"services\": [],"
                    + " \"tenants\": [{\"name\": \"a\", \"api_keys\": [\"secret-key\"]}]}";

    private final LoopbackFixture loopback = new LoopbackFixture();
    private final PlatformStoreStandIn store = new PlatformStoreStandIn(loopback.ioExecutor);
    private final TimerService timers =
            new DefaultTimerService(Executors.defaultThreadFactory(), (part, failure) -> {});
    private final List<PeerMessage> sent = new ArrayList<>();
    private final RelayingObjectApi relay =
            new RelayingObjectApi(
                    new PlatformObjectApi(loopback.connections, store.address(), stated -> {}),
                    new RecordingChannel(),
                    Runnable::run,
                    timers,
                    new EventLog("test"),
                    new StoreEraMonitor(timers, new EventLog("test")),
                    new CallNumbers(new Random(1)));

    /** Records messages, which are not delivered. */
    private final class RecordingChannel implements RelayingObjectApi.PeerChannel {
        @Override
        public Optional<InstanceId> relayPeer() {
            return Optional.empty();
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            synchronized (sent) {
                sent.add(message);
            }
        }

        @Override
        public Optional<WatchSource> watchSource() {
            return Optional.empty();
        }

        @Override
        public boolean isWatchSource() {
            return true;
        }

        @Override
        public void connect(WatchSource source) {
            // No message is delivered.
        }

        @Override
        public void onWatchSourceFailed(WatchSource source) {
            // No source is followed.
        }
    }

    @AfterEach
    void close() throws Exception {
        timers.close();
        store.close();
        loopback.close();
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    /** Returns what is sent in answer to a call. */
    private GatewayMessage.ObjectCallAnswer call(
            GatewayMessage.ObjectOperation operation, long version) throws Exception {
        int before = sent.size();
        relay.onObjectCall(
                new InstanceId("peer"),
                new GatewayMessage.ObjectCall(
                        PeerMessage.FORMAT_VERSION,
                        5,
                        operation,
                        MAIN.kind(),
                        MAIN.name(),
                        version,
                        Optional.empty(),
                        Duration.ofMillis(100),
                        0));
        GatewayFixture.await("an answer", () -> sentCount() > before);
        return (GatewayMessage.ObjectCallAnswer) sent.get(before);
    }

    private int sentCount() {
        synchronized (sent) {
            return sent.size();
        }
    }

    @Test
    void answersToPeersHaveDigestsInPlaceOfKeys() throws Exception {
        store.put("servers", "s", Json.object());
        get(relay.list("config"));
        store.put("config", "main", Json.read(TABLE.getBytes(StandardCharsets.UTF_8)));
        get(relay.watch("config", StorePosition.of(2), Duration.ZERO));
        List<GatewayMessage.ObjectCallAnswer> answers =
                List.of(
                        call(GatewayMessage.ObjectOperation.READ, 0),
                        call(GatewayMessage.ObjectOperation.LIST, 0),
                        call(GatewayMessage.ObjectOperation.WATCH, 2),
                        call(GatewayMessage.ObjectOperation.SHARED_WATCH, 2));
        PeerCodec codec = new PeerCodec(new ProcessId("p"));
        for (GatewayMessage.ObjectCallAnswer answer : answers) {
            assertEquals(1, answer.objects().size(), answer.toString());
            String bytes = new String(codec.encode(answer), StandardCharsets.ISO_8859_1);
            assertTrue(bytes.contains("tenants"));
            assertFalse(bytes.contains("secret-key"), bytes);
            StoredObject object = RelayedObjects.toStoredObject(answer);
            assertEquals(
                    1, ConfigurationDecoder.decode(object.content()).accounts().accounts().size());
        }
    }

    // Guards against a peer of an older release, which relays keys as they are in the store.
    @Test
    void keysFromPeersAreReplacedOnArrival() {
        StoredObject object =
                RelayedObjects.toStored(
                        new GatewayMessage.RelayedObject("config", "main", 4, TABLE),
                        StoreEra.NONE);
        assertFalse(object.content().toString().contains("secret-key"));
        assertFalse(
                ConfigurationDecoder.decode(object.content())
                        .accounts()
                        .accounts()
                        .iterator()
                        .next()
                        .digests()
                        .isEmpty());
    }
}
