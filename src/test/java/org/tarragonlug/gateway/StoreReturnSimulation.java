package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.tarragonlug.decision.watching.FollowedSource;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.decision.watching.WatchSourceSelector;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.ManualTimers;

/**
 * Many instances that watch a store which comes back from older copies, directly, through sources
 * and through peers, in virtual time. Each instance is made of the parts of a gateway.
 */
final class StoreReturnSimulation {
    static final List<String> KINDS = List.of("servers", "config");

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
    private static final Duration MESSAGE_TIME = Duration.ofMillis(10);
    private static final int OBJECTS_PER_KIND = 12;
    private static final int CHANGES_PER_REMOVAL = 8;
    private static final WatchLimits LIMITS = WatchLimits.DEFAULT;

    private final ManualTimers timers = new ManualTimers();
    private final Deque<Runnable> loop = new ArrayDeque<>();
    private final Random random;
    private final WatchSourceSelector selector = new WatchSourceSelector();
    private final List<Instance> instances = new ArrayList<>();
    private final Duration changePeriod;
    private boolean changing = true;
    private Instant backAt = timers.now();

    final ReturningStore store;

    /** What instances did that they must not do. */
    final List<String> violations = new ArrayList<>();

    StoreReturnSimulation(int count, int domains, Duration changePeriod, long seed) {
        this.random = new Random(seed);
        this.changePeriod = changePeriod;
        this.store = new ReturningStore(timers, random);
        for (int number = 0; number < count; number++) {
            instances.add(new Instance(number, domains));
        }
        instances.forEach(Instance::start);
        change();
    }

    /** One instance, and what it shows to its other parts. */
    private final class Instance implements RelayingObjectApi.PeerChannel {
        private final InstanceId id;
        private final WatchCandidate candidate;
        private final FollowedSource followed;
        private final StoreEraMonitor eras;
        private final RelayingObjectApi relay;
        private final List<StoreWatcher> watchers = new ArrayList<>();
        private final Map<String, Map<String, Long>> shown = new TreeMap<>();

        Instance(int number, int domains) {
            id = new InstanceId("instance-" + number);
            candidate =
                    new WatchCandidate(
                            new FailureDomain("domain-" + number % domains),
                            "10.0.0.1:" + number,
                            1);
            followed = new FollowedSource(id, text -> text.hashCode() * 0x9e3779b97f4a7c15L);
            EventLog log = new EventLog(id.value());
            eras = new StoreEraMonitor(timers, log);
            relay =
                    new RelayingObjectApi(
                            new EraCheckedObjectApi(store, eras, timers),
                            this,
                            loop::add,
                            timers,
                            log,
                            eras,
                            new CallNumbers(random));
            ObjectApi api = new EraCheckedObjectApi(relay, eras, timers);
            KINDS.forEach(kind -> watchers.add(watcher(kind, api, log)));
            eras.addListener(relay::onStoreEra);
            eras.addListener(era -> watchers.forEach(StoreWatcher::onStoreEra));
        }

        private StoreWatcher watcher(String kind, ObjectApi api, EventLog log) {
            return new StoreWatcher(
                    kind,
                    api,
                    loop::add,
                    timers,
                    log,
                    LIMITS,
                    this::pace,
                    eras::current,
                    () -> {},
                    new Shown(id, shown.computeIfAbsent(kind, each -> new TreeMap<>())));
        }

        private WatchPace pace() {
            if (followed.isSource(timers.now())) {
                return WatchPace.SOURCE;
            }
            return watchSource().isPresent() ? WatchPace.FOLLOWER : WatchPace.ALONE;
        }

        void start() {
            after(random.nextInt(400), this::report);
            watchers.forEach(watcher -> after(random.nextInt(300), watcher::start));
        }

        private void report() {
            selector.onReport(id, candidate, timers.now());
            followed.onSelected(selector.sourcesFor(id, timers.now()), timers.now());
            timers.scheduleOnce(REPORT_PERIOD, now -> report());
        }

        @Override
        public Optional<InstanceId> relayPeer() {
            Instance other = instances.get(random.nextInt(instances.size()));
            return other == this ? Optional.empty() : Optional.of(other.id);
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            Instance receiver = instances.get(Integer.parseInt(to.value().substring(9)));
            timers.scheduleOnce(MESSAGE_TIME, now -> loop.add(() -> receiver.receive(id, message)));
        }

        private void receive(InstanceId from, PeerMessage message) {
            if (message instanceof GatewayMessage.ObjectCall call) {
                relay.onObjectCall(from, call);
            } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
                relay.onObjectCallAnswer(answer);
            }
        }

        @Override
        public Optional<WatchSource> watchSource() {
            return followed.current(timers.now());
        }

        @Override
        public boolean isWatchSource() {
            return followed.isSource(timers.now());
        }

        @Override
        public void connect(WatchSource source) {
            // Messages are delivered by the name of the instance.
        }

        @Override
        public void onWatchSourceFailed(WatchSource source) {
            followed.onFailed(source.instance(), timers.now());
        }
    }

    /** The objects of one kind that an instance shows, as numbers of their changes. */
    private final class Shown implements StoreWatcher.Listener {
        private final InstanceId instance;
        private final Map<String, Long> serials;
        private StoreEra latest = StoreEra.NONE;

        Shown(InstanceId instance, Map<String, Long> serials) {
            this.instance = instance;
            this.serials = serials;
        }

        @Override
        public void onChanged(StoredObject object) {
            StoreEra era = object.position().era();
            if (era.compareTo(latest) < 0) {
                violations.add(instance + " shows " + object + " after an object of " + latest);
            }
            latest = era;
            serials.put(object.name().name(), object.content().path("serial").asLong());
        }

        @Override
        public void onRemoved(String name) {
            serials.remove(name);
        }

        @Override
        public void onInitialListComplete() {
            // The simulation compares what is shown later.
        }
    }

    private void after(int millis, Runnable action) {
        timers.scheduleOnce(Duration.ofMillis(millis), now -> action.run());
    }

    private void change() {
        if (changing) {
            String kind = KINDS.get(random.nextInt(KINDS.size()));
            ObjectName name = new ObjectName(kind, "object-" + random.nextInt(OBJECTS_PER_KIND));
            store.change(name, random.nextInt(CHANGES_PER_REMOVAL) == 0);
        }
        timers.scheduleOnce(changePeriod, now -> change());
    }

    /** Ends all changes of objects. */
    void stopChanging() {
        changing = false;
    }

    /** Lets the store be away and then come back without its last changes. */
    void returnFromCopy(Duration away, int lost) {
        store.leave();
        run(away);
        store.comeBack(lost);
        backAt = timers.now();
    }

    void run(Duration length) {
        Instant end = timers.now().plus(length);
        while (timers.now().isBefore(end)) {
            timers.advance(STEP);
            while (!loop.isEmpty()) {
                loop.poll().run();
            }
        }
    }

    /** Runs, and records each object that an instance learns of too late. */
    void runAndCheckDelays(Duration length) {
        Instant end = timers.now().plus(length);
        while (timers.now().isBefore(end)) {
            run(Duration.ofMillis(100));
            instances.forEach(this::checkDelays);
        }
    }

    private void checkDelays(Instance instance) {
        for (ReturningStore.Change change : store.objects().values()) {
            Instant due = change.at().plus(LIMITS.newsLimit());
            Instant inTouch = backAt.plus(LIMITS.silenceLimit());
            boolean late = timers.now().isAfter(due) && timers.now().isAfter(inTouch);
            if (late && change.serial() != 0 && !shows(instance, change)) {
                violations.add(instance.id + " does not show " + change + " at " + timers.now());
            }
        }
    }

    private static boolean shows(Instance instance, ReturningStore.Change change) {
        ObjectName name = change.name();
        Long serial = instance.shown.get(name.kind()).get(name.name());
        return serial != null && serial == change.serial();
    }

    /** Returns the instances that show something else than the store holds. */
    List<String> differing() {
        Map<String, Map<String, Long>> held = new TreeMap<>();
        KINDS.forEach(kind -> held.put(kind, new TreeMap<>()));
        for (ReturningStore.Change change : store.objects().values()) {
            if (change.serial() != 0) {
                held.get(change.name().kind()).put(change.name().name(), change.serial());
            }
        }
        return instances.stream()
                .filter(instance -> !instance.shown.equals(held))
                .map(instance -> instance.id + " shows " + instance.shown + ", not " + held)
                .toList();
    }
}
