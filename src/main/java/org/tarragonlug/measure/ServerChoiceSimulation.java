package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.forwarding.Fleet;
import org.tarragonlug.decision.forwarding.FleetServer;
import org.tarragonlug.decision.forwarding.InFlightTotals;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.PaceTotals;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.ServerSelector;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Many instances choose among the servers of one model, each with its own delayed view of their
 * load. Arrivals are a Poisson process, and a request occupies a slot for an exponentially
 * distributed time. A server states its load when it begins to answer. A rejected request is
 * counted and dropped.
 */
final class ServerChoiceSimulation {
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final ModelKey MODEL = new ModelKey("model", "");
    private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
    private static final double NETWORK_MILLIS = 0.5;

    /** Time after which the answers of servers that were asked for their load have arrived. */
    private static final double ASKING_MILLIS = 1.1;

    /**
     * When requests begin to arrive. A pause that ended at the beginning of time would limit the
     * requests in flight for a second, and a server without notices has such a pause.
     */
    private static final Duration FIRST_ARRIVAL = Duration.ofSeconds(1);

    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final double MICROS_PER_MILLI = 1000;

    private final ServerChoiceScenario scenario;
    private final ServerChoice choice;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<Server> servers = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final InFlightTotals totals = new InFlightTotals();
    private final Histogram waits = new Histogram(3);
    private final Histogram times = new Histogram(3);
    private final PaceTotals paces = new PaceTotals();
    private int requests;
    private int rejected;
    private int atHome;
    private int started;
    private int startedSlow;

    ServerChoiceSimulation(
            ServerChoiceScenario scenario, ServerChoice choice, Hasher hasher, long seed) {
        this.scenario = scenario;
        this.choice = choice;
        this.random = new Random(seed);
        for (int index = 0; index < scenario.servers(); index++) {
            servers.add(new Server(index));
        }
        for (int index = 0; index < scenario.instances(); index++) {
            instances.add(new Instance(index, hasher));
        }
    }

    ServerChoiceResult run(Duration length) {
        time.after(FIRST_ARRIVAL, this::scheduleArrival);
        if (scenario.speeds().unsteadyShare() > 0) {
            changeUnsteadyServers();
        }
        if (choice.exchangesTotals()) {
            instances.forEach(Instance::scheduleReport);
        }
        time.runUntil(Instant.EPOCH.plus(WARM_UP).plus(length));
        int[] sent = servers.stream().mapToInt(server -> server.received).toArray();
        double mean = Arrays.stream(sent).average().orElse(0);
        return new ServerChoiceResult(
                requests,
                (double) rejected / Math.max(1, requests),
                Arrays.stream(sent).max().orElse(0) / Math.max(1, mean),
                waits.getValueAtPercentile(50) / MICROS_PER_MILLI,
                waits.getValueAtPercentile(99) / MICROS_PER_MILLI,
                waits.getMaxValue() / MICROS_PER_MILLI,
                (double) startedSlow / Math.max(1, started),
                times.getValueAtPercentile(50) / MICROS_PER_MILLI,
                times.getValueAtPercentile(99) / MICROS_PER_MILLI,
                (double) atHome / Math.max(1, requests));
    }

    private boolean measuring() {
        return time.now().isAfter(Instant.EPOCH.plus(WARM_UP));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void scheduleArrival() {
        time.afterMillis(
                exponential(1000 / scenario.requestsPerSecond()),
                () -> {
                    instances.get(random.nextInt(instances.size())).onRequest();
                    scheduleArrival();
                });
    }

    private void changeUnsteadyServers() {
        List<Server> shuffled = new ArrayList<>(servers);
        Collections.shuffle(shuffled, random);
        long slow = Math.round(scenario.speeds().unsteadyShare() * servers.size());
        for (int index = 0; index < shuffled.size(); index++) {
            shuffled.get(index).setUnsteady(index < slow);
        }
        time.afterMillis(scenario.speeds().periodMillis(), this::changeUnsteadyServers);
    }

    private Optional<ModelKey> model() {
        return scenario.plain() ? Optional.empty() : Optional.of(MODEL);
    }

    private FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index % scenario.domains());
    }

    /** A server with its slots and its queue. */
    private final class Server {
        private final ServerListing listing;
        private final boolean slow;
        private final Deque<Request> queue = new ArrayDeque<>();
        private int running;
        private final List<Request> active = new ArrayList<>();
        private final double lastingFactor;
        private boolean unsteady;
        private int received;

        Server(int index) {
            this.slow = index < scenario.slowServers();
            ServerSpeeds speeds = scenario.speeds();
            boolean low = index < Math.round(speeds.lowSpeedShare() * scenario.servers());
            this.lastingFactor = 1 / (low ? speeds.lowSpeed() : speeds.highSpeed());
            this.listing =
                    new ServerListing(
                            new ServerId("server-" + index),
                            SERVICE,
                            "",
                            domain(index),
                            scenario.slots(),
                            ListedState.READY,
                            1,
                            Map.of(MODEL.model(), Set.of()),
                            Set.of(),
                            Set.of());
        }

        int total() {
            return running + queue.size();
        }

        void onRequest(Request request) {
            received += measuring() ? 1 : 0;
            if (running < scenario.slots()) {
                start(request);
            } else if (queue.size() < scenario.queue()) {
                queue.add(request);
            } else {
                rejected += measuring() ? 1 : 0;
                time.afterMillis(NETWORK_MILLIS, () -> request.onEnded(load()));
            }
        }

        private ReportedLoad load() {
            int pace = choice.knows(ServerChoice.Pace.STATED) ? statedPace() : 100;
            return new ReportedLoad(running, queue.size(), scenario.slots(), pace);
        }

        /** The pace states only what changes at the moment, not that the server is a slow one. */
        private int statedPace() {
            return unsteady ? (int) Math.round(100 * scenario.speeds().unsteadyFactor()) : 100;
        }

        /** Returns by how much longer work takes here now. */
        double factor() {
            double slowness = slow && measuring() ? scenario.slowness() : 1;
            return lastingFactor * slowness * statedPaceFactor();
        }

        private double statedPaceFactor() {
            return unsteady ? scenario.speeds().unsteadyFactor() : 1;
        }

        void setUnsteady(boolean newUnsteady) {
            if (unsteady != newUnsteady) {
                active.forEach(Request::advance);
                unsteady = newUnsteady;
                active.forEach(Request::scheduleEnd);
            }
        }

        /** Returns the expected time of a further request, in units of the usual time. */
        double expectedTime() {
            double queued = Math.max(0, total() + 1 - scenario.slots());
            return factor() * (1 + queued / scenario.slots());
        }

        private void start(Request request) {
            running++;
            if (measuring()) {
                started++;
                startedSlow += unsteady || slow ? 1 : 0;
            }
            if (measuring()) {
                waits.recordValue(Duration.between(request.sentAt, time.now()).toNanos() / 1000);
            }
            ReportedLoad load = load();
            time.afterMillis(NETWORK_MILLIS, () -> request.onStarted(load));
            active.add(request);
            request.startOn(this, exponential(scenario.serviceMillis()));
        }

        void end(Request request) {
            running--;
            active.remove(request);
            if (measuring()) {
                times.recordValue(Duration.between(request.sentAt, time.now()).toNanos() / 1000);
            }
            ReportedLoad load = load();
            time.afterMillis(NETWORK_MILLIS, () -> request.onEnded(load));
            if (!queue.isEmpty()) {
                start(queue.poll());
            }
        }
    }

    /** A request in progress, as the instance that sent it sees it. */
    private final class Request {
        private final Instance instance;
        private final FleetServer server;
        private final Instant sentAt = time.now();
        private Server runsOn;
        private double work;
        private double remaining;
        private Instant startedAt;
        private Instant advancedAt;
        private int schedule;

        Request(Instance instance, FleetServer server) {
            this.instance = instance;
            this.server = server;
        }

        /** Begins work that takes this time on a server of the usual speed. */
        void startOn(Server target, double millis) {
            runsOn = target;
            work = millis;
            remaining = millis;
            startedAt = time.now();
            advancedAt = startedAt;
            scheduleEnd();
        }

        /** Accounts for the work done since the last change of the server's speed. */
        void advance() {
            remaining -= millisSince(advancedAt) / runsOn.factor();
            advancedAt = time.now();
        }

        void scheduleEnd() {
            schedule++;
            int scheduled = schedule;
            time.afterMillis(
                    Math.max(0, remaining) * runsOn.factor(),
                    () -> {
                        if (scheduled == schedule) {
                            runsOn.end(this);
                        }
                    });
        }

        private double millisSince(Instant from) {
            return Duration.between(from, time.now()).toNanos() / 1e6;
        }

        void onStarted(ReportedLoad load) {
            instance.onLoad(server, load);
        }

        void onEnded(ReportedLoad load) {
            instance.onLoad(server, load);
            server.onRequestEnded();
            if (choice.knows(ServerChoice.Pace.LEARNT) && startedAt != null) {
                learn(load);
            }
        }

        /** Learns the time of a plain answer, or the time of a stream per part of its work. */
        private void learn(ReportedLoad load) {
            boolean plain = scenario.plain();
            double millis = plain ? millisSince(sentAt) : millisSince(startedAt) / work;
            if (!plain || load.waiting() == 0) {
                instance.fleet.recordAnswerTime(server, 0, millis, time.now());
            }
        }
    }

    /** An instance with its own view of the servers. */
    private final class Instance {
        private final int index;
        private final Fleet fleet = new Fleet();
        private final ServerSelector selector;
        private int requestCount;

        Instance(int index, Hasher hasher) {
            this.index = index;
            this.selector = new ServerSelector(fleet, domain(index), hasher);
            servers.forEach(server -> fleet.addOrUpdate(server.listing));
        }

        void onRequest() {
            int target = choose();
            if (choice.asked() > 0) {
                Set<ServerId> asked = ask(target);
                time.afterMillis(ASKING_MILLIS, () -> send(chooseAfterAsking(asked)));
            } else {
                send(target);
            }
        }

        private void send(int target) {
            Server server = servers.get(target);
            FleetServer view = fleet.server(server.listing.id()).orElseThrow();
            if (measuring()) {
                requests++;
                atHome += view.failureDomain().equals(domain(index)) ? 1 : 0;
            }
            view.onRequestSent();
            Request request = new Request(this, view);
            time.afterMillis(NETWORK_MILLIS, () -> server.onRequest(request));
        }

        private int choose() {
            requestCount++;
            if (choice.usesSelector()) {
                return chooseExcept(Set.of());
            }
            if (choice == ServerChoice.OMNISCIENT) {
                return servers.indexOf(
                        servers.stream()
                                .min(
                                        Comparator.comparingDouble(Server::expectedTime)
                                                .thenComparingInt(Server::total))
                                .get());
            }
            return numberOf(
                    fleet.servers().stream()
                            .min(Comparator.comparingDouble(this::knownCost))
                            .orElseThrow());
        }

        private int chooseExcept(Set<ServerId> excluded) {
            Optional<FleetServer> chosen =
                    selector.choose(
                            SERVICE,
                            model(),
                            PromptPrefix.NONE,
                            excluded,
                            index + "-" + requestCount,
                            time.now());
            return numberOf(chosen.orElseThrow());
        }

        /** Asks the best servers for their load; returns those asked. */
        private Set<ServerId> ask(int best) {
            Set<ServerId> asked = new HashSet<>();
            int next = best;
            for (int count = 0; count < choice.asked(); count++) {
                Server server = servers.get(next);
                asked.add(server.listing.id());
                FleetServer view = fleet.server(server.listing.id()).orElseThrow();
                time.afterMillis(
                        NETWORK_MILLIS,
                        () -> {
                            ReportedLoad load = server.load();
                            time.afterMillis(NETWORK_MILLIS, () -> onLoad(view, load));
                        });
                next = chooseExcept(asked);
            }
            return asked;
        }

        /** Chooses anew; among the servers that were asked, if they were several. */
        private int chooseAfterAsking(Set<ServerId> asked) {
            if (asked.size() == 1) {
                return chooseExcept(Set.of());
            }
            Set<ServerId> others = new HashSet<>();
            for (Server server : servers) {
                if (!asked.contains(server.listing.id())) {
                    others.add(server.listing.id());
                }
            }
            return chooseExcept(others);
        }

        void onLoad(FleetServer server, ReportedLoad load) {
            if (choice.readsLoad()) {
                server.recordReportedLoad(load, time.now());
            }
            if (choice.knows(ServerChoice.Pace.STATED)) {
                server.pace().recordStated(load.pace(), time.now());
            }
        }

        private double knownCost(FleetServer server) {
            double distance = server.failureDomain().equals(domain(index)) ? 0 : 0.12;
            return server.load(time.now()) / scenario.slots() + distance;
        }

        private int numberOf(FleetServer server) {
            return Integer.parseInt(server.id().value().substring("server-".length()));
        }

        void scheduleReport() {
            time.afterMillis(random.nextDouble() * REPORT_PERIOD.toMillis(), this::report);
        }

        /** Receives the totals of all instances, as the planner knows them from their reports. */
        private void report() {
            if (random.nextDouble() >= scenario.lostNews()) {
                totals.onReport(new InstanceId("instance-" + index), fleet.inFlight(), time.now());
                fleet.recordTotalsInFlight(totals.totals(time.now()), time.now());
                if (choice.knows(ServerChoice.Pace.EXCHANGED)) {
                    exchangePaces();
                }
            }
            time.after(REPORT_PERIOD, this::report);
        }

        /** Reports the paces that this instance has observed, and receives those of all. */
        private void exchangePaces() {
            Instant now = time.now();
            paces.onReport(fleet.takeAnswerPaces(), fleet.statedPaces(now), now);
            fleet.recordPaces(paces.learnt(now), paces.stated(now), now);
        }
    }
}
