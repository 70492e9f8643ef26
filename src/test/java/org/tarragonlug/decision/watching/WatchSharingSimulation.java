package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.measure.VirtualTime;

/**
 * Many instances that watch a store, directly or through sources, in virtual time. Objects change
 * at random. Instances can be frozen or cut off from the store; the simulation records how long
 * each change takes to reach the instances that are neither.
 */
final class WatchSharingSimulation {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Duration SHARED_ANSWER_TIMEOUT = Duration.ofMillis(300);
    private static final Duration SOURCE_WAIT = Duration.ofMillis(600);
    private static final Duration SOURCE_PAUSE = Duration.ofMillis(400);
    private static final Duration FOLLOWER_WAIT = Duration.ofMillis(800);
    private static final Duration FOLLOWER_PAUSE = Duration.ofMillis(400);
    private static final Duration ALONE_WAIT = Duration.ofMillis(3000);
    private static final Duration ALONE_PAUSE = Duration.ofMillis(1100);
    private static final double NETWORK_MILLIS = 2;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final WatchSourceSelector selector = new WatchSourceSelector();
    private final List<Instance> instances = new ArrayList<>();
    private final List<Runnable> storeWaiters = new ArrayList<>();
    private final List<Instant> changes = new ArrayList<>();
    private long revision;
    private Duration longestDelay = Duration.ZERO;
    int storeCalls;

    WatchSharingSimulation(int count, int domains, double changesPerSecond, long seed) {
        random = new Random(seed);
        for (int number = 0; number < count; number++) {
            instances.add(new Instance(number, domains));
        }
        instances.forEach(Instance::start);
        scheduleChange(changesPerSecond);
    }

    void run(Duration length) {
        time.runUntil(time.now().plus(length));
    }

    Duration longestDelay() {
        return longestDelay;
    }

    /** Returns an instance that is a source now. */
    Instance anySource() {
        return instances.stream()
                .filter(each -> each.followed.isSource(time.now()))
                .findFirst()
                .orElseThrow();
    }

    private void scheduleChange(double perSecond) {
        time.afterMillis(
                -1000 / perSecond * Math.log(1 - random.nextDouble()),
                () -> {
                    revision++;
                    changes.add(time.now());
                    List<Runnable> waiting = List.copyOf(storeWaiters);
                    storeWaiters.clear();
                    waiting.forEach(Runnable::run);
                    scheduleChange(perSecond);
                });
    }

    /** One instance: its view of the store, and its role as a source. */
    final class Instance {
        private final InstanceId id;
        private final WatchCandidate candidate;
        private final FollowedSource followed;
        private final SharedView<Long> view = new SharedView<>();
        private final List<Runnable> viewWaiters = new ArrayList<>();
        private long known;
        private boolean frozen;
        private boolean cut;
        private Instant faultEffectsUntil = Instant.EPOCH;

        Instance(int number, int domains) {
            id = new InstanceId("instance-" + number);
            candidate =
                    new WatchCandidate(
                            new FailureDomain("domain-" + number % domains),
                            "10.0.0.1:" + number,
                            number % 7 == 0 ? 1.5 : 0.36);
            followed = new FollowedSource(id, text -> text.hashCode() * 0x9e3779b97f4a7c15L);
        }

        void start() {
            time.afterMillis(random.nextDouble() * REPORT_PERIOD.toMillis(), this::report);
            time.afterMillis(random.nextDouble() * 1000, this::watch);
        }

        /** Stops the instance for a while; messages to it are lost. */
        void freeze(Duration length) {
            frozen = true;
            faultEffectsUntil = time.now().plus(length).plusSeconds(3);
            time.after(length, () -> frozen = false);
        }

        /** Cuts the instance off from the store, silently, but not from other instances. */
        void cutFromStore(Duration length) {
            cut = true;
            faultEffectsUntil = time.now().plus(length).plusSeconds(3);
            time.after(length, () -> cut = false);
        }

        private void report() {
            if (!frozen) {
                selector.onReport(id, candidate, time.now());
                followed.onSelected(selector.sourcesFor(id, time.now()), time.now());
            }
            time.after(REPORT_PERIOD, this::report);
        }

        private void learn(long newRevision) {
            for (long each = known; each < newRevision; each++) {
                Duration delay = Duration.between(changes.get((int) each), time.now());
                boolean undisturbed = time.now().isAfter(faultEffectsUntil);
                if (undisturbed && delay.compareTo(longestDelay) > 0 && known > 0) {
                    longestDelay = delay;
                }
            }
            known = Math.max(known, newRevision);
        }

        private void watch() {
            if (frozen) {
                time.afterMillis(100, this::watch);
                return;
            }
            Optional<WatchSource> source = followed.current(time.now());
            if (source.isPresent()) {
                watchThrough(source.get());
            } else {
                watchStore();
            }
        }

        private void watchStore() {
            boolean isSource = followed.isSource(time.now());
            Duration wait = isSource ? SOURCE_WAIT : ALONE_WAIT;
            storeCalls++;
            long after = known;
            boolean[] done = new boolean[1];
            if (cut) {
                time.after(wait.plus(CALL_TIMEOUT), this::watch);
                return;
            }
            Runnable answer =
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            long now = revision;
                            time.afterMillis(NETWORK_MILLIS, () -> onStoreAnswer(after, now));
                        }
                    };
            if (revision > after) {
                answer.run();
            } else {
                storeWaiters.add(answer);
                time.after(wait, answer);
            }
        }

        private void onStoreAnswer(long after, long newRevision) {
            if (cut || frozen) {
                time.after(CALL_TIMEOUT, this::watch);
                return;
            }
            learn(newRevision);
            Map<String, Long> changed = new LinkedHashMap<>();
            for (long each = after + 1; each <= newRevision; each++) {
                changed.put("object-" + each % 40, each);
            }
            view.onWatched(
                    StorePosition.of(after), changed, StorePosition.of(newRevision), time.now());
            List<Runnable> waiting = List.copyOf(viewWaiters);
            viewWaiters.clear();
            waiting.forEach(Runnable::run);
            boolean isSource = followed.isSource(time.now());
            time.after(isSource ? SOURCE_PAUSE : ALONE_PAUSE, this::watch);
        }

        private void watchThrough(WatchSource source) {
            Instance target =
                    instances.get(Integer.parseInt(source.instance().value().substring(9)));
            boolean[] done = new boolean[1];
            time.after(
                    FOLLOWER_WAIT.plus(SHARED_ANSWER_TIMEOUT),
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            followed.onFailed(source.instance(), time.now());
                            watch();
                        }
                    });
            time.afterMillis(NETWORK_MILLIS, () -> target.onSharedWatch(this, known, done, false));
        }

        private void onSharedWatch(Instance from, long after, boolean[] done, boolean waitOver) {
            if (frozen || done[0]) {
                return;
            }
            SharedView.Answer<Long> answer =
                    view.answer(StorePosition.of(after), waitOver, time.now());
            if (answer.kind() == SharedView.Kind.WAIT) {
                viewWaiters.add(() -> onSharedWatch(from, after, done, false));
                time.after(FOLLOWER_WAIT, () -> onSharedWatch(from, after, done, true));
                return;
            }
            time.afterMillis(
                    NETWORK_MILLIS,
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            from.onSharedAnswer(id, answer);
                        }
                    });
        }

        private void onSharedAnswer(InstanceId source, SharedView.Answer<Long> answer) {
            if (answer.kind() == SharedView.Kind.STALE) {
                followed.onFailed(source, time.now());
                watch();
                return;
            }
            learn(answer.position().revision());
            if (answer.kind() == SharedView.Kind.GAP) {
                storeCalls++;
                learn(revision);
            }
            time.after(FOLLOWER_PAUSE, this::watch);
        }
    }
}
