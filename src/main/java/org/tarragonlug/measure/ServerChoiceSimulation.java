package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
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
    private static final Duration WARM_UP = Duration.ofSeconds(2);
    private static final double MICROS_PER_MILLI = 1000;

    private final ServerChoiceScenario scenario;
    private final ServerChoice choice;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<Server> servers = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final InFlightTotals totals = new InFlightTotals();
    private final Histogram waits = new Histogram(3);
    private int requests;
    private int rejected;
    private int atHome;

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
        scheduleArrival();
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

    private FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index % scenario.domains());
    }

    /** A server with its slots and its queue. */
    private final class Server {
        private final ServerListing listing;
        private final boolean slow;
        private final Deque<Request> queue = new ArrayDeque<>();
        private int running;
        private int received;

        Server(int index) {
            this.slow = index < scenario.slowServers();
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
            return new ReportedLoad(running, queue.size(), scenario.slots());
        }

        private void start(Request request) {
            running++;
            if (measuring()) {
                waits.recordValue(Duration.between(request.sentAt, time.now()).toNanos() / 1000);
            }
            ReportedLoad load = load();
            time.afterMillis(NETWORK_MILLIS, () -> request.onStarted(load));
            double slowness = slow && measuring() ? scenario.slowness() : 1;
            time.afterMillis(exponential(scenario.serviceMillis()) * slowness, () -> end(request));
        }

        private void end(Request request) {
            running--;
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

        Request(Instance instance, FleetServer server) {
            this.instance = instance;
            this.server = server;
        }

        void onStarted(ReportedLoad load) {
            server.recordReportedLoad(load, time.now());
        }

        void onEnded(ReportedLoad load) {
            server.recordReportedLoad(load, time.now());
            server.onRequestEnded();
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
                Optional<FleetServer> chosen =
                        selector.choose(
                                SERVICE,
                                Optional.of(MODEL),
                                PromptPrefix.NONE,
                                Set.of(),
                                index + "-" + requestCount,
                                time.now());
                return numberOf(chosen.orElseThrow());
            }
            if (choice == ServerChoice.OMNISCIENT) {
                return servers.indexOf(
                        servers.stream().min(Comparator.comparingInt(Server::total)).get());
            }
            return numberOf(
                    fleet.servers().stream()
                            .min(Comparator.comparingDouble(this::knownCost))
                            .orElseThrow());
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
            }
            time.after(REPORT_PERIOD, this::report);
        }
    }
}
