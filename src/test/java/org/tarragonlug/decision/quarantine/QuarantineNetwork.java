package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.measure.VirtualTime;

/** Quarantine managers of several instances, with their messages, a store and checked servers. */
final class QuarantineNetwork {
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration DELAY = Duration.ofMillis(2);

    /** One instance. */
    final class Instance {
        final QuarantineManager manager = new QuarantineManager();
        final String name;
        final List<RequestTrait> convicted = new ArrayList<>();
        final List<RequestTrait> released = new ArrayList<>();
        final List<RequestTrait> trials = new ArrayList<>();
        final Set<ServerIncarnation> unreachable = new HashSet<>();
        QuarantineRole role = QuarantineRole.ALONE;
        boolean cutOffFromPeers;
        boolean cutOffFromStore;
        int messages;
        int storeWrites;
        private boolean stopped;

        private Instance(String name) {
            this.name = name;
        }

        Set<RequestTrait> quarantined() {
            return manager.quarantined();
        }

        void become(QuarantineRole newRole) {
            role = newRole;
            post(new QuarantineEvent.RoleChanged(newRole));
        }

        void lose(ServerIncarnation server, LostRequest... requests) {
            for (LostRequest request : requests) {
                post(new QuarantineEvent.RequestLost(server, request));
            }
        }

        void answer(RequestTrait... traits) {
            post(new QuarantineEvent.AnswerBegun(List.of(traits)));
        }

        void stop() {
            stopped = true;
            instances.remove(name);
        }

        void post(QuarantineEvent event) {
            if (!stopped) {
                manager.handle(event, time.now()).forEach(this::execute);
            }
        }

        private void execute(QuarantineCommand command) {
            if (command instanceof QuarantineCommand.CheckServer check) {
                boolean alive =
                        !down.contains(check.server()) && !unreachable.contains(check.server());
                time.after(
                        DELAY,
                        () -> post(new QuarantineEvent.ServerChecked(check.server(), alive)));
            } else if (command instanceof QuarantineCommand.ScheduleTick tick) {
                time.after(tick.delay(), () -> post(new QuarantineEvent.Tick()));
            } else if (command instanceof QuarantineCommand.ReportLosses report) {
                send(new QuarantineEvent.LossesReported(report.losses()));
            } else if (command instanceof QuarantineCommand.ReportAnswers report) {
                send(new QuarantineEvent.AnswersReported(report.answers()));
            } else if (command instanceof QuarantineCommand.AnnounceDecisions decisions) {
                send(
                        new QuarantineEvent.DecisionsAnnounced(
                                decisions.quarantined(), decisions.watched()));
            } else if (command instanceof QuarantineCommand.Store wanted) {
                store(wanted.quarantined());
            } else if (command instanceof QuarantineCommand.AllowTrial trial) {
                trials.add(trial.trait());
            } else if (command instanceof QuarantineCommand.LogConviction conviction) {
                convicted.add(conviction.trait());
            } else if (command instanceof QuarantineCommand.LogRelease release) {
                released.add(release.trait());
            }
        }

        private void send(QuarantineEvent event) {
            for (Instance other : List.copyOf(instances.values())) {
                boolean announcement = event instanceof QuarantineEvent.DecisionsAnnounced;
                boolean wanted = !announcement || other.role == QuarantineRole.FOLLOWS;
                if (other != this && wanted && !cutOffFromPeers && !other.cutOffFromPeers) {
                    messages++;
                    time.after(DELAY, () -> other.post(event));
                }
            }
        }

        private void store(Set<RequestTrait> wanted) {
            storeWrites++;
            if (!cutOffFromStore && !storeDown) {
                stored = wanted;
                time.after(
                        DELAY,
                        () ->
                                instances.values().stream()
                                        .filter(each -> !each.cutOffFromStore)
                                        .toList()
                                        .forEach(Instance::readStore));
            }
        }

        void readStore() {
            post(new QuarantineEvent.StoredRead(stored));
        }

        private void tick() {
            if (!stopped) {
                post(new QuarantineEvent.Tick());
                time.after(TICK, this::tick);
            }
        }
    }

    final VirtualTime time = new VirtualTime();
    final Map<String, Instance> instances = new LinkedHashMap<>();
    final Set<ServerIncarnation> down = new HashSet<>();
    Set<RequestTrait> stored = Set.of();
    boolean storeDown;
    private final Map<Integer, Integer> starts = new HashMap<>();

    /** Starts an instance, which reads the store unless it is down. */
    Instance start(String name, QuarantineRole role) {
        Instance instance = new Instance(name);
        instances.put(name, instance);
        instance.become(role);
        if (!storeDown) {
            instance.readStore();
        }
        instance.tick();
        return instance;
    }

    /** Lets the store come back from an older copy, which all instances notice at once. */
    void returnFrom(Set<RequestTrait> copy) {
        stored = copy;
        for (Instance instance : List.copyOf(instances.values())) {
            instance.post(new QuarantineEvent.StoreRestored());
            instance.post(new QuarantineEvent.EarlierRecordRead(copy, false));
        }
    }

    /** Ends a server, which starts again as another incarnation. */
    ServerIncarnation crash(int number) {
        ServerIncarnation lost = server(number);
        down.add(lost);
        starts.merge(number, 1, Integer::sum);
        return lost;
    }

    /** Returns the present incarnation of a server. */
    ServerIncarnation server(int number) {
        return new ServerIncarnation(new ServerId("e" + number), starts.getOrDefault(number, 0));
    }

    void advance(Duration duration) {
        time.runUntil(time.now().plus(duration));
    }

    void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }

    Instant now() {
        return time.now();
    }
}
