package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.ManualTimers;

/** Watches of an instance that has lost the store and calls it through a peer, in virtual time. */
class RelayedWatchTest {
    private static final String SERVERS = "servers";
    private static final ObjectName LEAVING = new ObjectName(SERVERS, "s1");
    private static final ObjectName OTHER = new ObjectName(SERVERS, "s2");
    private static final ObjectName LEASE = new ObjectName("leases", "orders-0");
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LATENCY = Duration.ofMillis(10);
    private static final Duration RENEWAL_PERIOD = Duration.ofMillis(2000);

    /** What happens to the connections besides. */
    private enum Trouble {
        NONE {
            @Override
            void begin(Cluster cluster) {}
        },
        /** All open connections, of both instances, go silent. */
        ALL_SILENT {
            @Override
            void begin(Cluster cluster) {
                cluster.watching.store.silenceOpenConnections();
                cluster.peer.store.silenceOpenConnections();
                cluster.linkSilent = true;
            }
        },
        /** The peer stops. */
        PEER_GONE {
            @Override
            void begin(Cluster cluster) {
                cluster.linkSilent = true;
            }
        },
        /** The peer loses the store, and does not know it yet. */
        PEER_STORE_SILENT {
            @Override
            void begin(Cluster cluster) {
                cluster.peer.store.setOutage(SilenceableStore.Outage.SILENT);
            }
        },
        /** The peer's kept connections to the store go silent. */
        PEER_CONNECTIONS_SILENT {
            @Override
            void begin(Cluster cluster) {
                cluster.peer.store.silenceOpenConnections();
            }
        };

        abstract void begin(Cluster cluster);
    }

    /** An instance whose connections to the store can fail. */
    private static final class Node implements RelayingObjectApi.PeerChannel {
        private final Cluster cluster;
        private final InstanceId id;
        private final SilenceableStore store;
        private final RelayingObjectApi api;

        Node(Cluster cluster, String name, SilenceableStore store) {
            this.cluster = cluster;
            this.id = new InstanceId(name);
            this.store = store;
            this.api =
                    new RelayingObjectApi(
                            store,
                            this,
                            Runnable::run,
                            cluster.timers,
                            new EventLog(name),
                            new StoreEraMonitor(cluster.timers, new EventLog(name)),
                            new CallNumbers(new Random(1)));
        }

        @Override
        public Optional<InstanceId> relayPeer() {
            return Optional.of(cluster.other(this).id);
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            Node receiver = cluster.other(this);
            if (!cluster.linkSilent) {
                cluster.timers.scheduleOnce(LATENCY, now -> receiver.receive(message));
            }
        }

        private void receive(PeerMessage message) {
            if (message instanceof GatewayMessage.ObjectCall call) {
                api.onObjectCall(cluster.other(this).id, call);
            } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
                api.onObjectCallAnswer(answer);
            }
        }

        @Override
        public Optional<WatchSource> watchSource() {
            return Optional.empty();
        }

        @Override
        public boolean isWatchSource() {
            return false;
        }

        @Override
        public void connect(WatchSource source) {}

        @Override
        public void onWatchSourceFailed(WatchSource source) {}
    }

    /** The instance that watches, and the peer that relays its calls. */
    private static final class Cluster implements StoreWatcher.Listener {
        private final ManualTimers timers = new ManualTimers();
        private final Node watching = new Node(this, "watching", new SilenceableStore(timers));
        private final Node peer = new Node(this, "peer", watching.store.forAnotherInstance());
        private final Map<String, Instant> changes = new HashMap<>();
        private final Map<String, Instant> removals = new HashMap<>();
        private final WatchLimits limits;
        private boolean linkSilent;
        private Instant nextRenewal;

        Cluster(WatchLimits limits, WatchPace pace, boolean holdsLease) {
            this.limits = limits;
            nextRenewal = holdsLease ? timers.now().plusMillis(730) : Instant.MAX;
            watching.store.put(LEAVING);
            watching.store.put(OTHER);
            watch(SERVERS, pace, this);
        }

        private void watch(String kind, WatchPace pace, StoreWatcher.Listener listener) {
            new StoreWatcher(
                            kind,
                            watching.api,
                            Runnable::run,
                            timers,
                            new EventLog("test"),
                            limits,
                            () -> pace,
                            () -> StoreEra.NONE,
                            () -> {},
                            listener)
                    .start();
        }

        Node other(Node node) {
            return node == watching ? peer : watching;
        }

        void at(Instant time, Runnable action) {
            timers.scheduleOnce(Duration.between(timers.now(), time), now -> action.run());
        }

        void run(Duration time) {
            Instant end = timers.now().plus(time);
            while (timers.now().isBefore(end)) {
                timers.advance(STEP);
                if (!timers.now().isBefore(nextRenewal)) {
                    nextRenewal = nextRenewal.plus(RENEWAL_PERIOD);
                    watching.api.write(LEASE, Json.object(), 1);
                }
            }
        }

        @Override
        public void onChanged(StoredObject object) {
            changes.put(object.name().name(), timers.now());
        }

        @Override
        public void onRemoved(String name) {
            removals.put(name, timers.now());
        }

        @Override
        public void onInitialListComplete() {}
    }

    private static WatchLimits limits(int silenceSeconds, int newsSeconds) {
        return new WatchLimits(
                Duration.ofSeconds(silenceSeconds),
                Duration.ofSeconds(newsSeconds),
                Duration.ofMillis(1200));
    }

    private static Stream<Arguments> cases() {
        return Stream.of(limits(3, 2), limits(4, 3))
                .flatMap(
                        limits ->
                                Stream.of(WatchPace.PROMPT, WatchPace.ALONE)
                                        .flatMap(
                                                pace ->
                                                        Stream.of(Trouble.values())
                                                                .map(
                                                                        trouble ->
                                                                                Arguments.of(
                                                                                        limits,
                                                                                        pace,
                                                                                        trouble))));
    }

    /** Leads an instance through an outage of its own, and adds when it learnt too late. */
    private static void check(
            WatchLimits limits,
            WatchPace pace,
            Trouble trouble,
            SilenceableStore.Outage outage,
            int outageMillis,
            int troubleMillis,
            int leavesMillis,
            boolean removed,
            List<String> late) {
        Cluster cluster = new Cluster(limits, pace, (outageMillis + leavesMillis) % 4 != 0);
        cluster.run(Duration.ofSeconds(6));
        Instant start = cluster.timers.now();
        Instant end = start.plusMillis(outageMillis);
        Instant troubleAt = end.plusMillis(troubleMillis);
        Instant leavesAt = troubleAt.plusMillis(leavesMillis);
        cluster.watching.store.setOutage(outage);
        cluster.at(end, () -> cluster.watching.store.setOutage(SilenceableStore.Outage.NONE));
        cluster.at(troubleAt, () -> trouble.begin(cluster));
        cluster.at(
                leavesAt,
                () -> {
                    if (removed) {
                        cluster.watching.store.remove(LEAVING);
                    } else {
                        cluster.watching.store.put(LEAVING);
                    }
                });
        cluster.run(Duration.between(start, leavesAt).plusSeconds(9));
        Instant disturbed =
                trouble == Trouble.ALL_SILENT && troubleAt.isAfter(end) ? troubleAt : end;
        Instant inTouch = disturbed.plus(limits.silenceLimit());
        Instant due = leavesAt.plus(limits.newsLimit());
        Instant limit = due.isBefore(inTouch) ? inTouch : due;
        Instant learnt =
                (removed ? cluster.removals : cluster.changes)
                        .getOrDefault(LEAVING.name(), Instant.MAX);
        if (learnt.isBefore(leavesAt) || !learnt.isBefore(limit)) {
            late.add(
                    String.format(
                            "%s outage of %d ms, trouble %d ms after it, leaving %d ms later"
                                    + " (removed=%s): learnt after %s, allowed %s",
                            outage,
                            outageMillis,
                            troubleMillis,
                            leavesMillis,
                            removed,
                            learnt.equals(Instant.MAX) ? "-" : Duration.between(leavesAt, learnt),
                            Duration.between(leavesAt, limit)));
        }
    }

    /** Goes through the moments of an outage and of what happens besides. */
    private static void checkAll(
            WatchLimits limits, WatchPace pace, Trouble trouble, int lengthStep, int... leaves) {
        List<String> late = new ArrayList<>();
        int count = 0;
        for (SilenceableStore.Outage outage :
                List.of(SilenceableStore.Outage.REFUSING, SilenceableStore.Outage.SILENT)) {
            for (int length = 300; length < 6000; length += lengthStep) {
                for (int troubleAfter = -400; troubleAfter <= 2400; troubleAfter += 140) {
                    for (int leavesAfter : leaves) {
                        for (boolean removed : new boolean[] {false, true}) {
                            count++;
                            check(
                                    limits,
                                    pace,
                                    trouble,
                                    outage,
                                    length,
                                    troubleAfter,
                                    leavesAfter,
                                    removed,
                                    late);
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), late.stream().limit(3).toList(), late.size() + " of " + count);
    }

    // Guards against an instance that learns too late that a server leaves because its calls to the
    // store still go through a peer when that peer, or the connections, stop working.
    @ParameterizedTest
    @MethodSource("cases")
    void leavingServerIsLearntOfWithinTheLimitAfterAnOutage(
            WatchLimits limits, WatchPace pace, Trouble trouble) {
        checkAll(limits, pace, trouble, 740, -5, 15, 400);
    }

    // Guards against a second pool of connections that was opened in the outage, went silent too,
    // and is found out only by the watch after the first list.
    @Test
    void serverThatLeavesLaterIsLearntOfWithinTheLimit() {
        checkAll(limits(3, 2), WatchPace.ALONE, Trouble.ALL_SILENT, 370, 1500);
    }

    // Guards against the same at an instance that plans, whose watches wait longest.
    @Test
    void serverThatLeavesLaterIsLearntOfInTimeByThePlanner() {
        checkAll(limits(3, 2), WatchPace.PROMPT, Trouble.ALL_SILENT, 370, 1500);
    }
}
